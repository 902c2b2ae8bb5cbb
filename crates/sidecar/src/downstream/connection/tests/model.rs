//! A connection's state as independent fields, and the steps that change it: the reference for the
//! tests.

use crate::limits::Limits;

/// Bytes that come by one step.
pub(super) const RECEIVED_BYTES: usize = 10;
/// Bytes of the body that is announced ahead of all steps.
pub(super) const BODY_BYTES: usize = 25;

/// What can happen to a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Step {
    Received,
    InputDrained,
    RequestRead,
    ResponseReady { last: bool },
    ResponseWritten,
    CloseRequested,
    Disconnected,
}

/// All of them.
pub(super) const STEPS: [Step; 8] = [
    Step::Received,
    Step::InputDrained,
    Step::RequestRead,
    Step::ResponseReady { last: false },
    Step::ResponseReady { last: true },
    Step::ResponseWritten,
    Step::CloseRequested,
    Step::Disconnected,
];

/// The fields of a connection, each on its own; a time is the number of the step that set it.
#[derive(Clone, Copy)]
pub(super) struct Model {
    pub idle_since: Option<usize>,
    pub request_started: Option<usize>,
    pub received_since_response: bool,
    pub has_responded: bool,
    pub response_unwritten: bool,
    pub closing: bool,
    pub is_last_response_ready: bool,
    pipelined_bytes: usize,
    discarded_input: bool,
    burst_bytes: usize,
    pub remaining_body_bytes: usize,
    pub disconnected: bool,
}

/// The fields that might exclude each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Combination {
    pub idle: bool,
    pub started: bool,
    pub received: bool,
}

/// What a step does beside the state.
#[derive(Debug, PartialEq)]
pub(super) struct Effect {
    /// Whether all input of a request was read; nothing while that is open.
    pub request_complete: Option<bool>,
    pub close_requested: bool,
}

impl Model {
    /// A client that has just connected.
    pub(super) const NEW: Self = Self {
        idle_since: Some(0),
        request_started: None,
        received_since_response: false,
        has_responded: false,
        response_unwritten: false,
        closing: false,
        is_last_response_ready: false,
        pipelined_bytes: 0,
        discarded_input: false,
        burst_bytes: 0,
        remaining_body_bytes: BODY_BYTES,
        disconnected: false,
    };

    /// True for steps that the protocol can take: input is not read behind the last response, and a
    /// request is begun only where bytes came since the last response and no other is in flight.
    pub(super) fn allows(&self, step: Step) -> bool {
        match step {
            Step::Received => !self.is_last_response_ready,
            Step::RequestRead => self.received_since_response && self.idle_since.is_some(),
            _ => true,
        }
    }

    /// Takes a step, the one of that number, and returns what it does beside.
    pub(super) fn take(&mut self, step: Step, number: usize, limits: &Limits) -> Effect {
        let mut effect = Effect {
            request_complete: None,
            close_requested: false,
        };
        match step {
            Step::Received => self.on_received(number),
            Step::InputDrained => self.burst_bytes = 0,
            Step::RequestRead => effect.request_complete = self.on_request_read(limits),
            Step::ResponseReady { last } => self.on_response_ready(last, number),
            Step::ResponseWritten => {
                effect.close_requested = self.response_unwritten && self.closing;
                self.response_unwritten = false;
            }
            Step::CloseRequested => {
                self.closing = true;
                effect.close_requested = true;
            }
            Step::Disconnected => self.disconnected = true,
        }
        effect
    }

    fn on_received(&mut self, number: usize) {
        self.received_since_response = true;
        self.burst_bytes += RECEIVED_BYTES;
        self.remaining_body_bytes = self.remaining_body_bytes.saturating_sub(RECEIVED_BYTES);
        if self.idle_since.is_none() {
            self.pipelined_bytes += RECEIVED_BYTES;
        }
        self.request_started.get_or_insert(number);
    }

    fn on_request_read(&mut self, limits: &Limits) -> Option<bool> {
        self.idle_since = None;
        self.pipelined_bytes = 0;
        self.remaining_body_bytes = 0;
        match self.burst_bytes {
            0 => Some(true),
            bytes if bytes >= limits.client.max_burst_bytes => Some(false),
            _ => self.disconnected.then_some(false),
        }
    }

    fn on_response_ready(&mut self, last: bool, number: usize) {
        self.idle_since = Some(number);
        self.request_started = None;
        self.received_since_response = false;
        self.has_responded = true;
        self.response_unwritten = true;
        self.is_last_response_ready |= last;
        self.closing |= self.discarded_input;
    }

    /// Whether the protocol is to get no more; if so, input is discarded.
    pub(super) fn is_pipeline_full(&mut self, limits: &Limits) -> bool {
        let full =
            self.idle_since.is_none() && self.pipelined_bytes >= limits.client.max_pipelined_bytes;
        self.discarded_input |= full;
        full
    }

    /// The fields that might exclude each other.
    pub(super) fn combination(&self) -> Combination {
        Combination {
            idle: self.idle_since.is_some(),
            started: self.request_started.is_some(),
            received: self.received_since_response,
        }
    }
}
