//! Applies every short sequence of events to a connection and to a reference model with independent
//! fields, compares the two, and collects the combinations of those fields that occur.

mod model;

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::FutureExt as _;

use model::{BODY_BYTES, Combination, EVENTS, Effect, Event, Model, RECEIVED_BYTES};

use super::super::connection_timeout::wait_for_timeout_or_close;
use super::*;
use crate::limits::LimitInputs;

/// Events per sequence: enough to reach each combination, and few enough to run all sequences.
const SEQUENCE_LENGTH: usize = 6;

fn limits() -> Limits {
    let mut limits = Limits::derive(&LimitInputs {
        sockets: 64,
        ..Default::default()
    });
    limits.client.idle_timeout = Duration::from_secs(10);
    limits.client.first_request_timeout = Duration::from_secs(100);
    limits.client.request_read_timeout = Duration::from_secs(1_000);
    limits.client.max_pipelined_bytes = 2 * RECEIVED_BYTES;
    limits.client.max_burst_bytes = 3 * RECEIVED_BYTES;
    limits
}

fn apply(client: &ClientConnection, event: Event, limits: &Limits) -> Effect {
    let mut request_complete = None;
    match event {
        Event::Received => client.on_received(RECEIVED_BYTES),
        Event::InputDrained => client.input().on_drained(),
        Event::RequestRead => request_complete = client.on_request_read(limits).now_or_never(),
        Event::ResponseReady { last: true } => client.on_response_ready(Persistence::Close),
        Event::ResponseReady { last: false } => client.on_response_ready(Persistence::KeepAlive),
        Event::ResponseWritten => {
            client.close_state().on_response_written();
        }
        Event::CloseRequested => client.close_state().request_close(),
        Event::Disconnected => client.presence().mark_disconnected(),
    }
    Effect {
        request_complete,
        close_requested: client
            .close_state()
            .wait_for_close_request()
            .now_or_never()
            .is_some(),
    }
}

/// Instants just before and just after each event.
type EventTimes = Vec<(Instant, Instant)>;

/// Asserts that `found` is the instant of the given event plus `added`, or unset without an event.
fn assert_set_by(
    found: Option<Instant>,
    event: Option<usize>,
    added: Duration,
    times: &EventTimes,
) {
    assert_eq!(found.is_some(), event.is_some());
    if let (Some(found), Some(event)) = (found, event) {
        assert!(times[event].0 + added <= found && found <= times[event].1 + added);
    }
}

fn assert_matches_model(
    client: &ClientConnection,
    model: &mut Model,
    limits: &Limits,
    times: &EventTimes,
) {
    assert_eq!(
        client.has_received_since_response(),
        model.received_since_response
    );
    assert_eq!(client.close_state().is_closing(), model.closing);
    assert_eq!(
        client.close_state().is_last_response_ready(),
        model.is_last_response_ready
    );
    assert_eq!(
        client.input().remaining_body_bytes(),
        model.remaining_body_bytes
    );
    assert_eq!(client.presence().is_disconnected(), model.disconnected);
    let free = model.request_started.is_none() && !model.response_unwritten;
    let idle = client.idle_state();
    let idle_set_by = model.idle_since.filter(|_| free);
    assert_set_by(
        idle.map(|idle| idle.idle_since),
        idle_set_by,
        Duration::ZERO,
        times,
    );
    assert!(idle.is_none_or(|idle| idle.awaits_first_request != model.has_responded));
    let (set_by, timeout) = match model.request_started {
        None => (model.idle_since, limits.client.idle_timeout),
        started if model.has_responded => (started, limits.client.request_read_timeout),
        started => (started, limits.client.first_request_timeout),
    };
    let deadline_set_by = model.idle_since.and(set_by);
    assert_set_by(client.deadline(limits), deadline_set_by, timeout, times);
    let is_pipeline_full = client.is_pipeline_full(limits);
    assert_eq!(is_pipeline_full, model.is_pipeline_full(limits));
    if is_pipeline_full {
        client.input().on_discarded();
    }
}

/// Applies the events of one sequence, up to the first that actix-http cannot produce.
fn run_sequence(sequence: &[Event], limits: &Limits, seen: &mut BTreeSet<Combination>) {
    let mut times = EventTimes::new();
    let before = Instant::now();
    let client = ClientConnection::new(None);
    client.input().on_body_length(BODY_BYTES);
    times.push((before, Instant::now()));
    let mut model = Model::NEW;
    assert_matches_model(&client, &mut model, limits, &times);
    for (number, &event) in sequence.iter().enumerate() {
        if !model.allows(event) {
            return;
        }
        let before = Instant::now();
        let effect = apply(&client, event, limits);
        times.push((before, Instant::now()));
        assert_eq!(
            effect,
            model.apply(event, number + 1, limits),
            "{sequence:?}"
        );
        assert_matches_model(&client, &mut model, limits, &times);
        seen.insert(model.combination());
    }
}

#[test]
fn connection_is_idle_or_reading_or_in_flight_in_every_event_sequence() {
    let limits = limits();
    let mut seen = BTreeSet::new();
    for mut number in 0..EVENTS.len().pow(SEQUENCE_LENGTH as u32) {
        let sequence = [(); SEQUENCE_LENGTH].map(|()| {
            let event = EVENTS[number % EVENTS.len()];
            number /= EVENTS.len();
            event
        });
        run_sequence(&sequence, &limits, &mut seen);
    }
    let in_flight = Combination {
        idle: false,
        started: true,
        received: true,
    };
    let idle = Combination {
        idle: true,
        started: false,
        received: false,
    };
    let reading = Combination {
        idle: true,
        started: true,
        received: true,
    };
    assert_eq!(
        seen.into_iter().collect::<Vec<_>>(),
        [in_flight, idle, reading]
    );
}

/// An unwritten response, the last response and a requested close can occur in every lifecycle
/// state, so `CloseState` keeps them as independent flags.
#[test]
fn response_can_be_unwritten_while_idle_reading_or_in_flight() {
    let limits = limits();
    let client = ClientConnection::new(None);
    client.on_response_ready(Persistence::KeepAlive);
    assert!(
        client.idle_state().is_none(),
        "idle, its response unwritten"
    );
    client.on_received(RECEIVED_BYTES);
    assert!(client.deadline(&limits).is_some(), "reading");
    client.input().on_drained();
    assert_eq!(client.on_request_read(&limits).now_or_never(), Some(true));
    assert!(client.deadline(&limits).is_none(), "in flight");
    client.close_state().request_close();
    let _ = client.close_state().wait_for_close_request().now_or_never();
    client.close_state().on_response_written();
    assert!(
        client
            .close_state()
            .wait_for_close_request()
            .now_or_never()
            .is_some(),
        "its earlier response was unwritten until now"
    );
    assert!(client.close_state().is_closing() && !client.close_state().is_last_response_ready());
}

/// True if the wait for a timeout or close ends within 50 ms.
async fn times_out(client: &ClientConnection, limits: &Limits) -> bool {
    tokio::time::timeout(
        Duration::from_millis(50),
        wait_for_timeout_or_close(client, limits),
    )
    .await
    .is_ok()
}

#[tokio::test(flavor = "current_thread")]
async fn closing_connection_stays_until_its_response_is_written() {
    let limits = Limits::derive(&LimitInputs {
        sockets: 64,
        ..Default::default()
    });
    let client = ClientConnection::new(None);
    client.close_state().request_close();
    assert!(times_out(&client, &limits).await, "idle");
    client.close_state().request_close();
    client.on_received(1);
    assert!(!times_out(&client, &limits).await, "a request has begun");
    client.input().on_drained();
    assert!(
        client.on_request_read(&limits).await,
        "nothing more is to be read"
    );
    client.close_state().request_close();
    assert!(!times_out(&client, &limits).await, "a request is in flight");
    client.on_response_ready(Persistence::KeepAlive);
    client.close_state().request_close();
    assert!(
        !times_out(&client, &limits).await,
        "its response is not written"
    );
    client.close_state().on_response_written();
    assert!(times_out(&client, &limits).await, "its response is written");
}
