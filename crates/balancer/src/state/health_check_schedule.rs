//! Schedule of health checks: when the next one is due, and which servers come next.

#[cfg(test)]
mod tests;

use crate::{Micros, ServerId};

/// Which group of servers the next scheduled health check prefers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CheckSource {
    /// Suspected servers.
    Suspected,
    /// Servers whose health check was expedited.
    #[default]
    Expedited,
}

/// The schedule. The interval between checks is decided by
/// [`HealthChecker`](crate::policy::HealthChecker).
#[derive(Default)]
pub(crate) struct HealthCheckSchedule {
    expedited: Vec<ServerId>,
    next_at: Micros,
    last_at: Micros,
    last_source: CheckSource,
}

impl HealthCheckSchedule {
    /// Schedules the first health check when the balancer starts.
    pub(crate) fn on_started(&mut self, first_at: Micros) {
        self.next_at = first_at;
    }

    /// Returns true if a health check is due.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        now >= self.next_at
    }

    /// Records the start of a scheduled health check, and schedules the next one after the
    /// interval.
    pub(crate) fn on_scheduled_check_started(&mut self, now: Micros, interval: Micros) {
        self.next_at = now + interval;
        self.last_at = now;
    }

    /// Makes a server the next to be checked: at most `interval` after the last scheduled check, or
    /// now if that time has passed.
    pub(crate) fn expedite(&mut self, id: ServerId, interval: Micros, now: Micros) {
        if !self.expedited.contains(&id) {
            self.expedited.push(id);
            let expedited_at = self.last_at + interval;
            self.next_at = self.next_at.min(expedited_at.max(now));
        }
    }

    /// Removes and returns the most recently expedited server.
    pub(crate) fn pop_expedited(&mut self) -> Option<ServerId> {
        self.expedited.pop()
    }

    /// Selects the group that the next check prefers; the two alternate.
    pub(crate) fn next_source(&mut self) -> CheckSource {
        self.last_source = match self.last_source {
            CheckSource::Suspected => CheckSource::Expedited,
            CheckSource::Expedited => CheckSource::Suspected,
        };
        self.last_source
    }
}
