//! The accepted requests that are still of interest, with the attempts that servers received.
//!
//! Owns what is remembered of a request and for how long. Rules read it and decide.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rustc_hash::FxHashMap;

use crate::event_log::{ProcessState, RequestOutcome};
use crate::index::{ClassIndex, RequestNumber, ServerIndex, SidecarIndex};
use crate::scenario::Micros;

/// How long a request is remembered beyond its deadline, in microseconds, to catch what comes after
/// it. What comes later still is not judged.
const RETENTION_AFTER_DEADLINE: Micros = 12_000_000;

/// An attempt that a server received.
pub(super) struct ReceivedAttempt {
    pub(super) at: Micros,
    pub(super) server: ServerIndex,
    rejected: bool,
}

/// A request that a sidecar accepted.
pub(super) struct AcceptedRequest {
    sidecar: SidecarIndex,
    class: ClassIndex,
    accepted_at: Micros,
    due: Micros,
    attempts: Vec<ReceivedAttempt>,
    response: Option<RequestOutcome>,
    client_disconnected: bool,
}

impl AcceptedRequest {
    pub(super) fn new(
        accepted_at: Micros,
        sidecar: SidecarIndex,
        class: ClassIndex,
        due: Micros,
    ) -> Self {
        Self {
            sidecar,
            class,
            accepted_at,
            due,
            attempts: Vec::new(),
            response: None,
            client_disconnected: false,
        }
    }

    pub(super) fn sidecar(&self) -> SidecarIndex {
        self.sidecar
    }

    pub(super) fn class(&self) -> ClassIndex {
        self.class
    }

    pub(super) fn due(&self) -> Micros {
        self.due
    }

    /// The first attempt that may have executed.
    pub(super) fn first_unrejected_attempt(&self) -> Option<&ReceivedAttempt> {
        self.attempts.iter().find(|attempt| !attempt.rejected)
    }

    pub(super) fn was_rejected(&self) -> bool {
        self.response == Some(RequestOutcome::Rejected)
    }

    pub(super) fn on_attempt_received(&mut self, at: Micros, server: ServerIndex) {
        self.attempts.push(ReceivedAttempt {
            at,
            server,
            rejected: false,
        });
    }

    /// True if the request had a response already.
    pub(super) fn on_response(&mut self, outcome: RequestOutcome) -> bool {
        self.response.replace(outcome).is_some()
    }
}

/// All of them, by number.
#[derive(Default)]
pub(super) struct Requests {
    accepted: FxHashMap<RequestNumber, AcceptedRequest>,
    /// When a response is overdue, earliest first.
    response_limits: BinaryHeap<Reverse<(Micros, RequestNumber)>>,
    /// When a request may be forgotten, in the order of acceptance.
    forget_at: VecDeque<(Micros, RequestNumber)>,
    /// When a sidecar was last killed.
    killed_at: FxHashMap<SidecarIndex, Micros>,
}

impl Requests {
    pub(super) fn insert(
        &mut self,
        number: RequestNumber,
        request: AcceptedRequest,
        response_limit: Micros,
    ) {
        self.forget_at
            .push_back((request.due + RETENTION_AFTER_DEADLINE, number));
        self.response_limits.push(Reverse((response_limit, number)));
        self.accepted.insert(number, request);
    }

    pub(super) fn get(&self, number: RequestNumber) -> Option<&AcceptedRequest> {
        self.accepted.get(&number)
    }

    pub(super) fn get_mut(&mut self, number: RequestNumber) -> Option<&mut AcceptedRequest> {
        self.accepted.get_mut(&number)
    }

    /// Takes the next request whose response was due before `now`, with the time at which it was.
    pub(super) fn next_overdue(&mut self, now: Micros) -> Option<(Micros, RequestNumber)> {
        let Reverse((limit, _)) = *self.response_limits.peek()?;
        if limit >= now {
            return None;
        }
        self.response_limits.pop().map(|Reverse(overdue)| overdue)
    }

    /// True for a request that should have had a response and has none.
    pub(super) fn lacks_response(&self, number: RequestNumber) -> bool {
        self.accepted
            .get(&number)
            .is_some_and(|request| request.response.is_none() && !self.excuses(request))
    }

    pub(super) fn forget_before(&mut self, now: Micros) {
        while let Some(&(_, number)) = self.forget_at.front().filter(|(at, _)| *at < now) {
            self.forget_at.pop_front();
            self.accepted.remove(&number);
        }
    }

    /// True where no response is required: the client disconnected, or the sidecar was killed with
    /// the request.
    pub(super) fn is_excused(&self, number: RequestNumber) -> bool {
        self.accepted
            .get(&number)
            .is_some_and(|request| self.excuses(request))
    }

    fn excuses(&self, request: &AcceptedRequest) -> bool {
        let killed_at = self.killed_at.get(&request.sidecar);
        request.client_disconnected || killed_at.is_some_and(|&at| at >= request.accepted_at)
    }

    /// The server's latest attempt of the request was rejected without being executed.
    pub(super) fn on_attempt_rejected(&mut self, number: RequestNumber, server: ServerIndex) {
        let Some(request) = self.accepted.get_mut(&number) else {
            return;
        };
        let mut latest_first = request.attempts.iter_mut().rev();
        if let Some(attempt) = latest_first.find(|attempt| attempt.server == server) {
            attempt.rejected = true;
        }
    }

    pub(super) fn on_client_disconnected(&mut self, number: RequestNumber) {
        if let Some(request) = self.accepted.get_mut(&number) {
            request.client_disconnected = true;
        }
    }

    pub(super) fn on_sidecar_state(
        &mut self,
        at: Micros,
        sidecar: SidecarIndex,
        state: ProcessState,
    ) {
        if state == ProcessState::Killed {
            self.killed_at.insert(sidecar, at);
        }
    }
}
