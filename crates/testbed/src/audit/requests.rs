//! The accepted requests, with the attempts that servers received.
//!
//! Keeps each request for a limited time after its deadline. The rules that read this state are
//! checked in other files.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rustc_hash::FxHashMap;

use crate::event_log::{ProcessState, RequestOutcome};
use crate::index::{ClassIndex, RequestNumber, ServerIndex, SidecarIndex};
use crate::scenario::Micros;

/// Time for which a request is kept after its deadline, in microseconds, so that late attempts and
/// responses are checked. Later events of the request are ignored.
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
    deadline: Micros,
    attempts: Vec<ReceivedAttempt>,
    response: Option<RequestOutcome>,
    client_disconnected: bool,
}

impl AcceptedRequest {
    pub(super) fn new(
        accepted_at: Micros,
        sidecar: SidecarIndex,
        class: ClassIndex,
        deadline: Micros,
    ) -> Self {
        Self {
            sidecar,
            class,
            accepted_at,
            deadline,
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

    pub(super) fn deadline(&self) -> Micros {
        self.deadline
    }

    /// The first attempt that a server may have executed.
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

    /// Stores the outcome of a response; returns true if the request already had one.
    pub(super) fn on_response(&mut self, outcome: RequestOutcome) -> bool {
        self.response.replace(outcome).is_some()
    }
}

/// The accepted requests that are kept.
#[derive(Default)]
pub(super) struct Requests {
    accepted: FxHashMap<RequestNumber, AcceptedRequest>,
    /// Times after which a response is overdue, earliest first.
    overdue_after: BinaryHeap<Reverse<(Micros, RequestNumber)>>,
    /// Times after which a request is discarded, in the order of acceptance.
    discard_after: VecDeque<(Micros, RequestNumber)>,
    /// When a sidecar was last killed.
    killed_at: FxHashMap<SidecarIndex, Micros>,
}

impl Requests {
    pub(super) fn insert(
        &mut self,
        number: RequestNumber,
        request: AcceptedRequest,
        overdue_after: Micros,
    ) {
        self.discard_after
            .push_back((request.deadline + RETENTION_AFTER_DEADLINE, number));
        self.overdue_after.push(Reverse((overdue_after, number)));
        self.accepted.insert(number, request);
    }

    pub(super) fn get(&self, number: RequestNumber) -> Option<&AcceptedRequest> {
        self.accepted.get(&number)
    }

    pub(super) fn get_mut(&mut self, number: RequestNumber) -> Option<&mut AcceptedRequest> {
        self.accepted.get_mut(&number)
    }

    /// Removes the earliest entry of `overdue_after` and returns it, if its time lies before `now`.
    pub(super) fn next_overdue(&mut self, now: Micros) -> Option<(Micros, RequestNumber)> {
        let Reverse((limit, _)) = *self.overdue_after.peek()?;
        if limit >= now {
            return None;
        }
        self.overdue_after.pop().map(|Reverse(overdue)| overdue)
    }

    /// Whether the request requires a response and has none.
    pub(super) fn lacks_response(&self, number: RequestNumber) -> bool {
        self.accepted
            .get(&number)
            .is_some_and(|request| request.response.is_none() && !self.exempts(request))
    }

    pub(super) fn discard_expired(&mut self, now: Micros) {
        while let Some(&(_, number)) = self.discard_after.front().filter(|(at, _)| *at < now) {
            self.discard_after.pop_front();
            self.accepted.remove(&number);
        }
    }

    /// Whether the request requires no response: its client disconnected, or its sidecar was killed
    /// after it had accepted the request.
    pub(super) fn is_exempt(&self, number: RequestNumber) -> bool {
        self.accepted
            .get(&number)
            .is_some_and(|request| self.exempts(request))
    }

    fn exempts(&self, request: &AcceptedRequest) -> bool {
        let killed_at = self.killed_at.get(&request.sidecar);
        request.client_disconnected || killed_at.is_some_and(|&at| at >= request.accepted_at)
    }

    /// Marks the latest attempt of the request at this server as rejected, hence not executed.
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
