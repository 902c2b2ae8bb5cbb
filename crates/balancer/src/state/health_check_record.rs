//! The health checks of one server.

use crate::Micros;

/// The health check in progress, the last result, and the confirmation of a failure.
pub(crate) struct HealthCheckRecord {
    started_at: Option<Micros>,
    last_started_at: Micros,
    last_failed: bool,
    load_only: bool,
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
            load_only: false,
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
        self.load_only |= self.started_at.is_none();
    }

    /// The health check in progress counts as a full one.
    pub(crate) fn on_full_check_requested(&mut self) {
        self.load_only = false;
    }

    /// Another balancer asked for an indirect check.
    pub(crate) fn on_indirect_check_requested(&mut self, balancer: u32) {
        self.indirect_check_requesters.push(balancer);
    }

    /// The health check in progress ended; true where it was only for the load.
    pub(crate) fn on_ended(&mut self, succeeded: bool) -> bool {
        self.started_at = None;
        self.last_failed = !succeeded;
        std::mem::take(&mut self.load_only)
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

    /// A full health check failed; true where the server was taken for alive before.
    pub(crate) fn on_failed(&mut self) -> bool {
        std::mem::replace(&mut self.confirmed_alive, false)
    }

    /// A failure is to be confirmed at this time.
    pub(crate) fn on_confirmation_scheduled(&mut self, at: Micros) {
        self.confirm_at = Some(at);
    }

    /// True once when the time of the confirmation has come.
    pub(crate) fn take_due_confirmation(&mut self, now: Micros) -> bool {
        self.confirm_at.take_if(|at| now >= *at).is_some()
    }
}
