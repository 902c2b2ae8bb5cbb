//! The health checks of one server.

use crate::{Micros, Outcome};

/// What a health check is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HealthCheckKind {
    /// A failure is to be confirmed.
    #[default]
    Full,
    /// It was requested for the load; a failure is left to the schedule.
    LoadOnly,
}

/// The health check in progress, the last result, and the confirmation of a failure.
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
            kind: HealthCheckKind::Full,
            confirm_at: None,
            confirmed_alive: true,
            indirect_check_requesters: Vec::new(),
        }
    }
}

impl HealthCheckRecord {
    /// When the health check in progress started.
    pub(crate) fn started_at(&self) -> Option<Micros> {
        self.started_at
    }

    /// When the last health check started.
    pub(crate) fn last_started_at(&self) -> Micros {
        self.last_started_at
    }

    /// True where the last health check failed.
    pub(crate) fn last_failed(&self) -> bool {
        self.last_failed
    }

    /// True while a failure waits for its confirmation.
    pub(crate) fn is_confirming(&self) -> bool {
        self.confirm_at.is_some()
    }

    /// False from a failed health check on, until the server answers this balancer or another one.
    pub(crate) fn is_confirmed_alive(&self) -> bool {
        self.confirmed_alive
    }

    /// Number of balancers that wait for the result.
    pub(crate) fn requester_count(&self) -> usize {
        self.indirect_check_requesters.len()
    }

    /// A health check started.
    pub(crate) fn on_started(&mut self, now: Micros) {
        self.started_at = Some(now);
        self.last_started_at = now;
    }

    /// A load check was requested: unless a full health check is in progress, its failure is not
    /// confirmed.
    pub(crate) fn on_load_check_requested(&mut self) {
        if self.started_at.is_none() {
            self.kind = HealthCheckKind::LoadOnly;
        }
    }

    /// The health check in progress counts as a full one.
    pub(crate) fn on_full_check_requested(&mut self) {
        self.kind = HealthCheckKind::Full;
    }

    /// Another balancer asked for an indirect check.
    pub(crate) fn on_indirect_check_requested(&mut self, balancer: u32) {
        self.indirect_check_requesters.push(balancer);
    }

    /// The health check in progress ended; returns what it was for.
    pub(crate) fn on_ended(&mut self, outcome: Outcome) -> HealthCheckKind {
        self.started_at = None;
        self.last_failed = outcome != Outcome::Served;
        std::mem::take(&mut self.kind)
    }

    /// The balancers that wait for the result; they wait no longer.
    pub(crate) fn take_requesters(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.indirect_check_requesters)
    }

    /// A health check succeeded.
    pub(crate) fn on_succeeded(&mut self) {
        self.confirm_at = None;
        self.confirmed_alive = true;
    }

    /// The server answered another balancer, or is trusted again.
    pub(crate) fn on_confirmed_alive(&mut self) {
        self.confirmed_alive = true;
    }

    /// A full health check failed.
    pub(crate) fn on_failed(&mut self) {
        self.confirmed_alive = false;
    }

    /// A failure is to be confirmed at this time.
    pub(crate) fn on_confirmation_scheduled(&mut self, at: Micros) {
        self.confirm_at = Some(at);
    }

    /// True where the time of the confirmation has come.
    pub(crate) fn is_confirmation_due(&self, now: Micros) -> bool {
        self.confirm_at.is_some_and(|at| now >= at)
    }

    /// Ends the wait for a confirmation whose time has come.
    pub(crate) fn end_due_confirmation(&mut self, now: Micros) {
        self.confirm_at.take_if(|at| now >= *at);
    }
}
