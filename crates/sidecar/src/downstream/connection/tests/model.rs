//! Reference model for the tests: a connection's state as independent fields, and the events that
//! change it.

use crate::limits::Limits;

/// Bytes received in one event.
pub(super) const RECEIVED_BYTES: usize = 10;
/// Length of the body, set before the first event.
pub(super) const BODY_BYTES: usize = 25;

/// An event on a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Event {
    Received,
    InputDrained,
    RequestRead,
    ResponseReady { last: bool },
    ResponseWritten,
    CloseRequested,
    Disconnected,
}

pub(super) const EVENTS: [Event; 8] = [
    Event::Received,
    Event::InputDrained,
    Event::RequestRead,
    Event::ResponseReady { last: false },
    Event::ResponseReady { last: true },
    Event::ResponseWritten,
    Event::CloseRequested,
    Event::Disconnected,
];

/// The fields of a connection, independent of each other. An instant is represented by the number
/// of the event that set it; 0 is the connect.
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

/// The fields that may be mutually exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Combination {
    pub idle: bool,
    pub started: bool,
    pub received: bool,
}

/// What an event causes besides the change of state.
#[derive(Debug, PartialEq)]
pub(super) struct Effect {
    /// Result of `on_request_read`; none while it is pending.
    pub request_complete: Option<bool>,
    pub close_requested: bool,
}

impl Model {
    /// A connection just after the connect.
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

    /// True for events that actix-http can produce: it reads no input after the last response,
    /// and completes a request only if bytes arrived since the last response and no other request
    /// is in flight.
    pub(super) fn allows(&self, event: Event) -> bool {
        match event {
            Event::Received => !self.is_last_response_ready,
            Event::RequestRead => self.received_since_response && self.idle_since.is_some(),
            _ => true,
        }
    }

    /// Applies the event of the given number and returns its effect.
    pub(super) fn apply(&mut self, event: Event, number: usize, limits: &Limits) -> Effect {
        let mut effect = Effect {
            request_complete: None,
            close_requested: false,
        };
        match event {
            Event::Received => self.on_received(number),
            Event::InputDrained => self.burst_bytes = 0,
            Event::RequestRead => effect.request_complete = self.on_request_read(limits),
            Event::ResponseReady { last } => self.on_response_ready(last, number),
            Event::ResponseWritten => {
                effect.close_requested = self.response_unwritten && self.closing;
                self.response_unwritten = false;
            }
            Event::CloseRequested => {
                self.closing = true;
                effect.close_requested = true;
            }
            Event::Disconnected => self.disconnected = true,
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

    /// True if input is withheld from actix-http; that input is then discarded.
    pub(super) fn is_pipeline_full(&mut self, limits: &Limits) -> bool {
        let full =
            self.idle_since.is_none() && self.pipelined_bytes >= limits.client.max_pipelined_bytes;
        self.discarded_input |= full;
        full
    }

    /// The current values of the fields that may be mutually exclusive.
    pub(super) fn combination(&self) -> Combination {
        Combination {
            idle: self.idle_since.is_some(),
            started: self.request_started.is_some(),
            received: self.received_since_response,
        }
    }
}
