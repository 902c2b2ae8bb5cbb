//! Schedules health checks: which server is checked next, and when.
//!
//! A single schedule covers all servers, so that its cost does not grow with their number. With the
//! request rate `r` and the fee `c` for one health check per request, the interval is
//!
//! ```text
//! interval = clamp(c / (0.001 * r), 1 s, 5 s)
//! ```
//!
//! and a quarter of that while any server is suspected.
//!
//! Every other check goes to the suspected server whose last check is the oldest. The remaining
//! checks, and those for which no suspected server is due, go to expedited servers, the most
//! recently expedited one first. A server is expedited after a failed attempt, a failed unscheduled
//! check, or a suspicion of another balancer. If there is none, the check goes to a random
//! candidate, as in SWIM.

#[cfg(test)]
mod tests;

use crate::fleet::Fleet;
use crate::state::{CheckSource, HealthCheckSchedule, ServerIndex, ServerState};
use crate::{Micros, ServerId, Settings};

/// Shortest check interval while no server is suspected, in microseconds. With a shorter one,
/// health checks would detect failures sooner than attempts do, but cost more. Also the range of
/// the random delay of the first check, which spreads the checks of balancers that start together.
const MIN_INTERVAL: Micros = 1_000_000;
/// Longest check interval, in microseconds: a check is sent at least every 5 s, however costly it
/// is.
const MAX_INTERVAL: Micros = 5_000_000;
/// Cost limit of the scheduled checks, in units of the deployment's result ([`Fees`](crate::Fees)).
/// The interval is lengthened to stay within it.
const MAX_CHECK_COST: f64 = 0.001;
/// The check interval is divided by this while a server is suspected, so that a recovered server is
/// readmitted soon.
const SUSPECTED_INTERVAL_DIVISOR: Micros = 4;
/// Minimum time between the starts of two scheduled checks of a suspected server, in microseconds.
pub(crate) const MIN_SUSPECT_CHECK_INTERVAL: Micros = 400_000;

/// Target of a scheduled health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CheckTarget {
    /// A specific server.
    Server(ServerIndex),
    /// A random server among those that may be sent requests.
    RandomCandidate,
}

/// Owns the schedule of health checks.
#[derive(Default)]
pub(crate) struct HealthChecker {
    schedule: HealthCheckSchedule,
}

impl HealthChecker {
    /// Schedules the first check after a random delay.
    pub(crate) fn on_started(&mut self, now: Micros, rng: &mut fastrand::Rng) {
        self.schedule.on_started(now + rng.u64(0..MIN_INTERVAL));
    }

    /// Returns true if a scheduled check is due.
    pub(crate) fn is_due(&self, fleet: &Fleet) -> bool {
        fleet.settings.host.health_checks && self.schedule.is_due(fleet.now)
    }

    /// Returns the target of the check that is due and schedules the next check.
    pub(crate) fn next_target(&mut self, fleet: &Fleet) -> CheckTarget {
        self.schedule
            .on_scheduled_check_started(fleet.now, interval(fleet));
        let suspect = least_recently_checked_suspect(fleet);
        let source = self.schedule.next_source();
        if let Some(suspect) = suspect.filter(|_| source == CheckSource::Suspected) {
            return CheckTarget::Server(suspect);
        }
        let expedited = self
            .schedule
            .pop_expedited()
            .and_then(|id| fleet.servers.find(id));
        expedited.map_or(CheckTarget::RandomCandidate, CheckTarget::Server)
    }

    /// Adds a server that may have failed to the expedited servers, unless it is already one of
    /// them, and brings the next scheduled check forward.
    pub(crate) fn expedite(&mut self, id: ServerId, now: Micros) {
        self.schedule
            .expedite(id, MIN_INTERVAL / SUSPECTED_INTERVAL_DIVISOR, now);
    }

    /// Returns true if a health check can start: the host supports them and none is in progress.
    pub(crate) fn may_start(settings: &Settings, server: &ServerState) -> bool {
        settings.host.health_checks && server.health_check.started_at().is_none()
    }
}

fn interval(fleet: &Fleet) -> Micros {
    let max_cost_per_microsecond = MAX_CHECK_COST * fleet.request_rate();
    let affordable_interval =
        (fleet.settings.fees.health_check / max_cost_per_microsecond) as Micros;
    let interval = affordable_interval.clamp(MIN_INTERVAL, MAX_INTERVAL);
    if fleet
        .servers
        .iter()
        .any(|server| server.suspicion.is_suspected())
    {
        interval / SUSPECTED_INTERVAL_DIVISOR
    } else {
        interval
    }
}

fn least_recently_checked_suspect(fleet: &Fleet) -> Option<ServerIndex> {
    let last_started_at =
        |index: &ServerIndex| fleet.servers[*index].health_check.last_started_at();
    fleet
        .servers
        .indices()
        .filter(|&index| fleet.servers[index].suspicion.is_suspected())
        .filter(|index| fleet.now >= last_started_at(index) + MIN_SUSPECT_CHECK_INTERVAL)
        .min_by_key(last_started_at)
}
