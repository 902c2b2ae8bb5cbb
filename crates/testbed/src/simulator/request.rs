//! What is open in the simulator: arrivals, and their requests.

use slotmap::{SlotMap, new_key_type};

use super::attempts::AttemptKey;
use super::process::SidecarProcess;
use crate::index::{ArrivalNumber, ClassIndex, RequestNumber, SidecarIndex};
use crate::scenario::Micros;

new_key_type! {
    pub(super) struct ArrivalKey;
    pub(super) struct RequestKey;
}

/// All that is open, by keys that outlive it: what is removed is no longer found.
pub(super) struct OpenWork {
    pub(super) arrivals: SlotMap<ArrivalKey, OpenArrival>,
    pub(super) requests: SlotMap<RequestKey, Request>,
    /// The next number of an arrival or a request.
    next_number: u64,
}

impl OpenWork {
    /// Nothing is open yet.
    pub(super) fn new() -> Self {
        Self {
            arrivals: SlotMap::with_key(),
            requests: SlotMap::with_key(),
            next_number: 1,
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
