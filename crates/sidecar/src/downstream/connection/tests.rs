//! Plays all short orders of events against a connection and a model of independent fields, and
//! lists the combinations of those fields that occur.

mod model;

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::FutureExt as _;

use model::{BODY_BYTES, Combination, Effect, Model, RECEIVED_BYTES, STEPS, Step};

use super::super::connection_timeout::wait_for_timeout_or_close;
use super::*;
use crate::limits::LimitInputs;

/// Steps of an order: enough to reach each combination, and few enough to play all orders.
const ORDER_LENGTH: usize = 6;

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

fn take(client: &ClientConnection, step: Step, limits: &Limits) -> Effect {
    let mut request_complete = None;
    match step {
        Step::Received => client.on_received(RECEIVED_BYTES),
        Step::InputDrained => client.input().on_drained(),
        Step::RequestRead => request_complete = client.on_request_read(limits).now_or_never(),
        Step::ResponseReady { last: true } => client.on_response_ready(Persistence::Close),
        Step::ResponseReady { last: false } => client.on_response_ready(Persistence::KeepAlive),
        Step::ResponseWritten => client.close_state().on_response_written(),
        Step::CloseRequested => client.close_state().request_close(),
        Step::Disconnected => client.presence().mark_disconnected(),
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

/// The begin and the end of each step.
type Times = Vec<(Instant, Instant)>;

fn assert_set_at(found: Option<Instant>, step: Option<usize>, added: Duration, times: &Times) {
    assert_eq!(found.is_some(), step.is_some());
    if let (Some(found), Some(step)) = (found, step) {
        assert!(times[step].0 + added <= found && found <= times[step].1 + added);
    }
}

fn assert_same(client: &ClientConnection, model: &mut Model, limits: &Limits, times: &Times) {
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
    let rank = client.idle_rank();
    let rank_step = model.idle_since.filter(|_| free);
    assert_set_at(
        rank.map(|rank| rank.idle_since),
        rank_step,
        Duration::ZERO,
        times,
    );
    assert!(rank.is_none_or(|rank| rank.awaits_first_request != model.has_responded));
    let (set_by, timeout) = match model.request_started {
        None => (model.idle_since, limits.client.idle_timeout),
        started if model.has_responded => (started, limits.client.request_read_timeout),
        started => (started, limits.client.first_request_timeout),
    };
    let deadline_step = model.idle_since.and(set_by);
    assert_set_at(client.deadline(limits), deadline_step, timeout, times);
    let is_pipeline_full = client.is_pipeline_full(limits);
    assert_eq!(is_pipeline_full, model.is_pipeline_full(limits));
    if is_pipeline_full {
        client.input().on_discarded();
    }
}

/// Plays one order up to the first step that the protocol cannot take.
fn play(order: &[Step], limits: &Limits, seen: &mut BTreeSet<Combination>) {
    let mut times = Times::new();
    let before = Instant::now();
    let client = ClientConnection::new(None);
    client.input().on_body_length(BODY_BYTES);
    times.push((before, Instant::now()));
    let mut model = Model::NEW;
    assert_same(&client, &mut model, limits, &times);
    for (number, &step) in order.iter().enumerate() {
        if !model.allows(step) {
            return;
        }
        let before = Instant::now();
        let effect = take(&client, step, limits);
        times.push((before, Instant::now()));
        assert_eq!(effect, model.take(step, number + 1, limits), "{order:?}");
        assert_same(&client, &mut model, limits, &times);
        seen.insert(model.combination());
    }
}

#[test]
fn connection_is_idle_or_reading_or_in_flight_in_every_order_of_events() {
    let limits = limits();
    let mut seen = BTreeSet::new();
    for mut number in 0..STEPS.len().pow(ORDER_LENGTH as u32) {
        let order = [(); ORDER_LENGTH].map(|()| {
            let step = STEPS[number % STEPS.len()];
            number /= STEPS.len();
            step
        });
        play(&order, &limits, &mut seen);
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

/// A response that is still being written, the last response and a requested close exclude nothing:
/// they stay flags.
#[test]
fn unwritten_response_goes_with_idle_and_reading_and_in_flight() {
    let limits = limits();
    let client = ClientConnection::new(None);
    client.on_response_ready(Persistence::KeepAlive);
    assert!(client.idle_rank().is_none(), "idle, its response unwritten");
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

/// True where the connection is to end within a moment.
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
