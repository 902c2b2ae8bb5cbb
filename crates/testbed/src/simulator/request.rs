//! What is open in the simulator: arrivals, their requests, and the requests' attempts.

use slotmap::{SlotMap, new_key_type};

use super::process::SidecarProcess;
use crate::index::{ArrivalNumber, ClassIndex, RequestNumber, ServerIndex, SidecarIndex};
use crate::scenario::Micros;

new_key_type! {
    pub(super) struct ArrivalKey;
    pub(super) struct RequestKey;
    pub(super) struct AttemptKey;
}

/// All that is open, by keys that outlive it: what is removed is no longer found.
pub(super) struct OpenWork {
    pub(super) arrivals: SlotMap<ArrivalKey, OpenArrival>,
    pub(super) requests: SlotMap<RequestKey, Request>,
    pub(super) attempts: SlotMap<AttemptKey, Attempt>,
    /// The next number of an arrival or a request.
    next_number: u64,
    /// The next number of an attempt at a server's model.
    next_job: u64,
}

impl OpenWork {
    /// Nothing is open yet.
    pub(super) fn new() -> Self {
        Self {
            arrivals: SlotMap::with_key(),
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            next_number: 1,
            next_job: 1,
        }
    }

    /// A number for an arrival.
    pub(super) fn take_arrival_number(&mut self) -> ArrivalNumber {
        ArrivalNumber::new(self.take_number())
    }

    /// A number for a request.
    pub(super) fn take_request_number(&mut self) -> RequestNumber {
        RequestNumber::new(self.take_number())
    }

    fn take_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// A number for an attempt at a server's model.
    pub(super) fn take_job(&mut self) -> u64 {
        let job = self.next_job;
        self.next_job += 1;
        job
    }
}

/// What a client wants, with all its requests.
pub(super) struct OpenArrival {
    pub(super) number: ArrivalNumber,
    pub(super) sidecar: SidecarIndex,
    pub(super) class: ClassIndex,
    /// Work in microseconds of a standard core.
    pub(super) work: f64,
    /// What the client hints of the work, in microseconds of a standard core.
    pub(super) work_hint: Option<Micros>,
    pub(super) deadline: Micros,
    /// Requests sent so far.
    pub(super) requests: u32,
    /// Whether the client keeps to a Retry-After.
    pub(super) honours_retry_after: bool,
}

/// One request of a client to its sidecar: the first of an arrival or a retry.
pub(super) struct Request {
    pub(super) number: RequestNumber,
    pub(super) arrival: ArrivalKey,
    /// The process that it was sent to.
    pub(super) process: SidecarProcess,
    pub(super) class: ClassIndex,
    /// Work in microseconds of a standard core.
    pub(super) work: f64,
    pub(super) work_hint: Option<Micros>,
    /// When its client gives up.
    pub(super) due: Micros,
    pub(super) attempts: Vec<AttemptKey>,
    /// The sidecar has given its final response, which may still be on its way.
    pub(super) responded: bool,
}

/// One attempt of a sidecar at a server.
pub(super) struct Attempt {
    pub(super) request: RequestKey,
    pub(super) request_number: RequestNumber,
    /// Counts the request's attempts from 0.
    pub(super) index: u32,
    pub(super) sidecar: SidecarIndex,
    pub(super) server: ServerIndex,
    /// Its number at the server's model.
    pub(super) job: u64,
    pub(super) sent_at: Micros,
    /// When its sidecar gives up.
    pub(super) due: Micros,
    /// Work in microseconds of a standard core.
    pub(super) work: f64,
    /// One way to the server, in microseconds.
    pub(super) delay: Micros,
    /// Its connection, by the server's start that this belongs to.
    pub(super) connection: Option<u32>,
    /// Whether it opens a connection of its own.
    pub(super) new_connection: bool,
    /// Its last byte is written.
    pub(super) written: bool,
    /// Its sidecar knows how it ended.
    pub(super) ended: bool,
    /// Its connection will be reset before the response.
    pub(super) reset_pending: bool,
    /// Requests in flight that its response reports.
    pub(super) reported_in_flight: Option<usize>,
}
