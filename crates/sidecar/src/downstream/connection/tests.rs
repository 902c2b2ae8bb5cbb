//! Plays all short orders of events against a connection and a model of twelve independent fields, and lists the
//! combinations of those fields that occur.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::FutureExt as _;

use super::*;
use crate::limits::Basis;

const ORDER_LENGTH: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Received,
    InputDrained,
    RequestRead,
    ResponseMade { last: bool },
    ResponseWritten,
    BeginClose,
    Disconnected,
}

const STEPS: [Step; 8] = [
    Step::Received,
    Step::InputDrained,
    Step::RequestRead,
    Step::ResponseMade { last: false },
    Step::ResponseMade { last: true },
    Step::ResponseWritten,
    Step::BeginClose,
    Step::Disconnected,
];

/// The fields of a connection, each on its own; a time is the number of the step that set it.
#[derive(Clone, Copy)]
struct Model {
    idle_since: Option<usize>,
    request_started: Option<usize>,
    received_since_response: bool,
    has_been_answered: bool,
    response_unwritten: bool,
    closing: bool,
    sent_last_response: bool,
    pipelined_bytes: usize,
    discarded_input: bool,
    burst_bytes: usize,
    announced_body_bytes: usize,
    disconnected: bool,
}

/// What of the fields excludes each other, or does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Combination {
    idle: bool,
    started: bool,
    received: bool,
}

/// What a step does beside the state.
#[derive(Debug, PartialEq)]
struct Effect {
    /// Whether all input of a request was read; nothing while that is open.
    request_complete: Option<bool>,
    close_requested: bool,
}

impl Model {
    const NEW: Self = Self {
        idle_since: Some(0),
        request_started: None,
        received_since_response: false,
        has_been_answered: false,
        response_unwritten: false,
        closing: false,
        sent_last_response: false,
        pipelined_bytes: 0,
        discarded_input: false,
        burst_bytes: 0,
        announced_body_bytes: BODY_BYTES,
        disconnected: false,
    };

    /// True for steps that the protocol can take: input is not read behind the last response, and a request is begun
    /// only where bytes came since the last response and no other is in flight.
    fn allows(&self, step: Step) -> bool {
        match step {
            Step::Received => !self.sent_last_response,
            Step::RequestRead => self.received_since_response && self.idle_since.is_some(),
            _ => true,
        }
    }

    fn take(&mut self, step: Step, number: usize, limits: &Limits) -> Effect {
        let mut effect = Effect {
            request_complete: None,
            close_requested: false,
        };
        match step {
            Step::Received => {
                self.received_since_response = true;
                self.burst_bytes += RECEIVED_BYTES;
                self.announced_body_bytes =
                    self.announced_body_bytes.saturating_sub(RECEIVED_BYTES);
                if self.idle_since.is_none() {
                    self.pipelined_bytes += RECEIVED_BYTES;
                }
                self.request_started.get_or_insert(number);
            }
            Step::InputDrained => self.burst_bytes = 0,
            Step::RequestRead => {
                self.idle_since = None;
                self.pipelined_bytes = 0;
                self.announced_body_bytes = 0;
                effect.request_complete = match self.burst_bytes {
                    0 => Some(true),
                    bytes if bytes >= limits.client.max_burst_bytes => Some(false),
                    _ => self.disconnected.then_some(false),
                };
            }
            Step::ResponseMade { last } => {
                self.idle_since = Some(number);
                self.request_started = None;
                self.received_since_response = false;
                self.has_been_answered = true;
                self.response_unwritten = true;
                self.sent_last_response |= last;
                self.closing |= self.discarded_input;
            }
            Step::ResponseWritten => {
                effect.close_requested = self.response_unwritten && self.closing;
                self.response_unwritten = false;
            }
            Step::BeginClose => {
                self.closing = true;
                effect.close_requested = true;
            }
            Step::Disconnected => self.disconnected = true,
        }
        effect
    }

    fn is_pipeline_full(&mut self, limits: &Limits) -> bool {
        let full =
            self.idle_since.is_none() && self.pipelined_bytes >= limits.client.max_pipelined_bytes;
        self.discarded_input |= full;
        full
    }

    fn combination(&self) -> Combination {
        Combination {
            idle: self.idle_since.is_some(),
            started: self.request_started.is_some(),
            received: self.received_since_response,
        }
    }
}

const RECEIVED_BYTES: usize = 10;
const BODY_BYTES: usize = 25;

fn limits() -> Limits {
    let mut limits = Limits::derive(&Basis {
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
        Step::InputDrained => client.on_input_drained(),
        Step::RequestRead => request_complete = client.on_request_read(limits).now_or_never(),
        Step::ResponseMade { last } => client.on_response_made(last),
        Step::ResponseWritten => client.on_response_written(),
        Step::BeginClose => client.begin_close(),
        Step::Disconnected => client.on_disconnected(),
    }
    Effect {
        request_complete,
        close_requested: client.close.requested().now_or_never().is_some(),
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
    assert_eq!(client.is_closing(), model.closing);
    assert_eq!(client.sent_last_response(), model.sent_last_response);
    assert_eq!(client.announced_body_bytes(), model.announced_body_bytes);
    assert_eq!(client.presence().is_disconnected(), model.disconnected);
    let free = model.request_started.is_none() && !model.response_unwritten;
    let rank = client.idle_rank();
    let rank_step = model.idle_since.filter(|_| free);
    assert_set_at(
        rank.map(|(_, since)| since),
        rank_step,
        Duration::ZERO,
        times,
    );
    assert!(rank.is_none_or(|(first, _)| first != model.has_been_answered));
    let (set_by, timeout) = match model.request_started {
        None => (model.idle_since, limits.client.idle_timeout),
        started if model.has_been_answered => (started, limits.client.request_read_timeout),
        started => (started, limits.client.first_request_timeout),
    };
    let deadline_step = model.idle_since.and(set_by);
    assert_set_at(client.deadline(limits), deadline_step, timeout, times);
    let is_pipeline_full = client.is_pipeline_full(limits);
    assert_eq!(is_pipeline_full, model.is_pipeline_full(limits));
    if is_pipeline_full {
        client.on_input_discarded();
    }
}

/// Plays one order up to the first step that the protocol cannot take.
fn play(order: &[Step], limits: &Limits, seen: &mut BTreeSet<Combination>) {
    let mut times = Times::new();
    let before = Instant::now();
    let client = ClientConnection::new(None);
    client.on_body_announced(BODY_BYTES);
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

/// A response that is still being written, the last response and a requested close exclude nothing: they stay flags.
#[test]
fn unwritten_response_goes_with_idle_and_reading_and_in_flight() {
    let limits = limits();
    let client = ClientConnection::new(None);
    client.on_response_made(false);
    assert!(client.idle_rank().is_none(), "idle, its response unwritten");
    client.on_received(RECEIVED_BYTES);
    assert!(client.deadline(&limits).is_some(), "reading");
    client.on_input_drained();
    assert_eq!(client.on_request_read(&limits).now_or_never(), Some(true));
    assert!(client.deadline(&limits).is_none(), "in flight");
    client.begin_close();
    let _ = client.close.requested().now_or_never();
    client.on_response_written();
    assert!(
        client.close.requested().now_or_never().is_some(),
        "its earlier response was unwritten until now"
    );
    assert!(client.is_closing() && !client.sent_last_response());
}
