//! When the next health check is due, and which servers are next.

#[cfg(test)]
mod tests;

use crate::{Micros, ServerId};

/// Which servers come first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CheckSource {
    /// Suspected ones.
    Suspected,
    /// Those that were made the next one.
    #[default]
    Expedited,
}

/// The schedule. How long intervals are is decided by
/// [`HealthChecker`](crate::policy::HealthChecker).
#[derive(Default)]
pub(crate) struct HealthCheckSchedule {
    expedited: Vec<ServerId>,
    next_at: Micros,
    last_at: Micros,
    last_source: CheckSource,
}

impl HealthCheckSchedule {
    /// The balancer started; the first health check comes at this time.
    pub(crate) fn on_started(&mut self, first_at: Micros) {
        self.next_at = first_at;
    }

    /// True where a health check is due.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        now >= self.next_at
    }

    /// A scheduled health check starts; the next one follows after the interval.
    pub(crate) fn on_scheduled_check_started(&mut self, now: Micros, interval: Micros) {
        self.next_at = now + interval;
        self.last_at = now;
    }

    /// Makes a server the next one, at the latest this long after the last health check.
    pub(crate) fn expedite(&mut self, id: ServerId, interval: Micros, now: Micros) {
        if !self.expedited.contains(&id) {
            self.expedited.push(id);
            let soon = self.last_at + interval;
            self.next_at = self.next_at.min(soon.max(now));
        }
    }

    /// Takes the server that was made the next one last.
    pub(crate) fn pop_expedited(&mut self) -> Option<ServerId> {
        self.expedited.pop()
    }

    /// Whose turn the next check is: the two alternate.
    pub(crate) fn next_source(&mut self) -> CheckSource {
        self.last_source = match self.last_source {
            CheckSource::Suspected => CheckSource::Expedited,
            CheckSource::Expedited => CheckSource::Suspected,
        };
        self.last_source
    }
}
