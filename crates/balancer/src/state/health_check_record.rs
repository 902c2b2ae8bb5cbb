//! The health checks of one server.

use crate::{Micros, Outcome};

/// Kind of a health check, which determines what follows its failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HealthCheckKind {
    /// A scheduled check, or the repetition of a failed one; a failure is evidence that the server
    /// has failed.
    #[default]
    Scheduled,
    /// A load check, or an indirect check for another balancer; a failure only expedites a
    /// scheduled check.
    Unscheduled,
}

/// State of one server's health checks: the one in progress, the last result, and the confirmation
/// of a failure.
pub(crate) struct HealthCheckRecord {
    started_at: Option<Micros>,
    last_started_at: Micros,
    last_failed: bool,
    kind: HealthCheckKind,
    confirm_at: Option<Micros>,
    confirmed_alive: bool,
    indirect_check_requesters: Vec<u32>,
}

impl Default for HealthCheckRecord {
    fn default() -> Self {
        Self {
            started_at: None,
            last_started_at: 0,
            last_failed: false,
            kind: HealthCheckKind::Scheduled,
            confirm_at: None,
            confirmed_alive: true,
            indirect_check_requesters: Vec::new(),
        }
    }
}

impl HealthCheckRecord {
    /// Returns when the health check in progress started; `None` if there is none.
    pub(crate) fn started_at(&self) -> Option<Micros> {
        self.started_at
    }

    /// Returns when the last health check started.
    pub(crate) fn last_started_at(&self) -> Micros {
        self.last_started_at
    }

    /// Returns true if the last health check failed.
    pub(crate) fn last_failed(&self) -> bool {
        self.last_failed
    }

    /// Returns true while the confirmation of a failure is scheduled.
    pub(crate) fn is_confirming(&self) -> bool {
        self.confirm_at.is_some()
    }

    /// Returns false from a failed scheduled health check until the server answers this balancer or
    /// another one.
    pub(crate) fn is_confirmed_alive(&self) -> bool {
        self.confirmed_alive
    }

    /// Returns the number of balancers that wait for the result of an indirect check.
    pub(crate) fn requester_count(&self) -> usize {
        self.indirect_check_requesters.len()
    }

    /// Records the start of a health check.
    pub(crate) fn on_started(&mut self, now: Micros) {
        self.started_at = Some(now);
        self.last_started_at = now;
    }

    /// Marks the next health check as unscheduled; a check in progress keeps its kind.
    pub(crate) fn on_unscheduled_check_requested(&mut self) {
        if self.started_at.is_none() {
            self.kind = HealthCheckKind::Unscheduled;
        }
    }

    /// Makes the health check in progress count as a scheduled one, even if it was started as an
    /// unscheduled one.
    pub(crate) fn on_scheduled_check_requested(&mut self) {
        self.kind = HealthCheckKind::Scheduled;
    }

    /// Records another balancer that waits for the result of an indirect check.
    pub(crate) fn on_indirect_check_requested(&mut self, balancer: u32) {
        self.indirect_check_requesters.push(balancer);
    }

    /// Records the end of the health check in progress; returns its kind.
    pub(crate) fn on_ended(&mut self, outcome: Outcome) -> HealthCheckKind {
        self.started_at = None;
        self.last_failed = outcome != Outcome::Served;
        std::mem::take(&mut self.kind)
    }

    /// Removes and returns the balancers that wait for the result of an indirect check.
    pub(crate) fn take_requesters(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.indirect_check_requesters)
    }

    /// Records a successful health check, which cancels any scheduled confirmation.
    pub(crate) fn on_succeeded(&mut self) {
        self.confirm_at = None;
        self.confirmed_alive = true;
    }

    /// Records that the server answered another balancer or was readmitted.
    pub(crate) fn on_confirmed_alive(&mut self) {
        self.confirmed_alive = true;
    }

    /// Records a failed scheduled health check.
    pub(crate) fn on_failed(&mut self) {
        self.confirmed_alive = false;
    }

    /// Schedules the confirmation of a failure.
    pub(crate) fn on_confirmation_scheduled(&mut self, at: Micros) {
        self.confirm_at = Some(at);
    }

    /// Returns true if the scheduled confirmation is due.
    pub(crate) fn is_confirmation_due(&self, now: Micros) -> bool {
        self.confirm_at.is_some_and(|at| now >= at)
    }

    /// Clears the scheduled confirmation if it is due.
    pub(crate) fn end_due_confirmation(&mut self, now: Micros) {
        self.confirm_at.take_if(|at| now >= *at);
    }
}
