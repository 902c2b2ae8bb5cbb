//! Which server's health is checked next, and when.
//!
//! One schedule serves all servers, however many there are, so that its cost is bounded: with the
//! request rate `r` and the fee `c` for one health check per request, the interval is
//!
//! ```text
//! interval = clamp(c / (0.001 * r), 1 s, 5 s), a quarter of it while a server is suspected
//! ```
//!
//! Every other check is for the suspected server that has waited longest. Else the turn goes to a
//! server whose attempt or load check failed, the last one first, and else to a random candidate,
//! as in SWIM.

#[cfg(test)]
mod tests;

use crate::fleet::Fleet;
use crate::state::{CheckTurn, HealthCheckSchedule, ServerIndex, ServerState};
use crate::{Micros, ServerId, Settings};

/// Shortest interval of random checks, in microseconds, and the span over which balancers that
/// start together spread their first one. A shorter interval finds failures sooner than attempts
/// do, at a higher cost. Inherited with the first version of the module; its source was not
/// recorded.
const MIN_INTERVAL: Micros = 1_000_000;
/// Longest interval of random checks, in microseconds: the first design leaves the period open up
/// to 5 s.
const MAX_INTERVAL: Micros = 5_000_000;
/// Largest cost of the random checks, as a fraction of the deployment's result. Above it the
/// interval grows. Half of what the first version of the module had; chosen by experiment on the
/// testbed.
const MAX_CHECK_COST: f64 = 0.001;
/// Intervals are shorter by this factor while a server is suspected, so that one that recovers is
/// soon used again. Inherited with the first version of the module; its source was not recorded.
const SUSPECTED_INTERVAL_DIVISOR: Micros = 4;
/// Least time between the starts of two checks of a suspected server, in microseconds. Inherited
/// with the first version of the module; its source was not recorded.
pub(crate) const MIN_SUSPECT_CHECK_INTERVAL: Micros = 400_000;

/// The server that a scheduled check is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CheckTarget {
    /// This one.
    Server(ServerIndex),
    /// A random one of those that may be sent requests.
    RandomCandidate,
}

/// Owns the schedule of health checks.
#[derive(Default)]
pub(crate) struct HealthChecker {
    schedule: HealthCheckSchedule,
}

impl HealthChecker {
    /// The balancer started. Draws the time of the first check.
    pub(crate) fn on_started(&mut self, now: Micros, rng: &mut fastrand::Rng) {
        self.schedule.on_started(now + rng.u64(0..MIN_INTERVAL));
    }

    /// True where a scheduled check is due.
    pub(crate) fn is_due(&self, fleet: &Fleet) -> bool {
        fleet.settings.host.health_checks && self.schedule.is_due(fleet.now)
    }

    /// Takes the next server in turn, and schedules the check after it.
    pub(crate) fn next_target(&mut self, fleet: &Fleet) -> CheckTarget {
        self.schedule.on_check_due(fleet.now, interval(fleet));
        let suspect = longest_waiting_suspect(fleet);
        let turn = self.schedule.take_turn();
        if let Some(suspect) = suspect.filter(|_| turn == CheckTurn::Suspect) {
            return CheckTarget::Server(suspect);
        }
        let queued = self.schedule.pop().and_then(|id| fleet.servers.find(id));
        queued.map_or(CheckTarget::RandomCandidate, CheckTarget::Server)
    }

    /// Makes a server whose attempt or load check failed the next to be checked, and soon.
    pub(crate) fn check_soon(&mut self, id: ServerId, now: Micros) {
        self.schedule
            .push(id, MIN_INTERVAL / SUSPECTED_INTERVAL_DIVISOR, now);
    }

    /// True where a health check of the server can start: one at a time.
    pub(crate) fn may_start(settings: &Settings, server: &ServerState) -> bool {
        settings.host.health_checks && server.health_check.started_at().is_none()
    }
}

fn interval(fleet: &Fleet) -> Micros {
    let cost_per_interval = MAX_CHECK_COST * fleet.request_rate();
    let affordable = (fleet.settings.fees.health_check / cost_per_interval) as Micros;
    let interval = affordable.clamp(MIN_INTERVAL, MAX_INTERVAL);
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

fn longest_waiting_suspect(fleet: &Fleet) -> Option<ServerIndex> {
    let last_started_at =
        |index: &ServerIndex| fleet.servers[*index].health_check.last_started_at();
    fleet
        .servers
        .indices()
        .filter(|&index| fleet.servers[index].suspicion.is_suspected())
        .filter(|index| fleet.now >= last_started_at(index) + MIN_SUSPECT_CHECK_INTERVAL)
        .min_by_key(last_started_at)
}
