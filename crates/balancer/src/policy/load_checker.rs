//! Load checks: selects the servers whose load is checked before a request is sent, and validates
//! the load reports that they return.
//!
//! A balancer's own attempts say little about a server's load when other balancers send to it too.
//! As in Prequal, a few random servers are therefore asked for their requests in flight, and the
//! request goes to one of the least loaded. At fleet utilization `u`, `ln(0.05) / ln(u)` servers
//! are checked, so that the probability that none of them is idle is 0.05; the number is limited to
//! between 2 and 8. Unlike in Prequal, every request makes its own load checks, and results of
//! earlier checks are not pooled.

#[cfg(test)]
mod tests;

use crate::fleet::Fleet;
use crate::policy::health_check_trust::HealthCheckTrust;
use crate::policy::load_source::LoadSource;
use crate::state::{RequestState, ServerIndex, ServerState};
use crate::{LoadReport, Micros};

/// Minimum number of servers to check: with one there is nothing to choose from.
const MIN_CHECKED_SERVERS: f64 = 2.0;
/// Maximum number of servers to check at any utilization: bounds the cost of a request.
const MAX_CHECKED_SERVERS: f64 = 8.0;
/// Accepted probability that none of the checked servers is idle. Lower values check more servers.
const MAX_PROBABILITY_NONE_IDLE: f64 = 0.05;
/// Bounds on the utilization before taking its logarithm, which is infinite at 0 and zero at 1.
const MIN_UTILIZATION: f64 = 0.01;
const MAX_UTILIZATION: f64 = 0.99;
/// Timeout of a request's load checks, as a fraction of its latency objective. With a longer one, a
/// server that does not answer uses up the request's own time.
const TIMEOUT_FRACTION_OF_OBJECTIVE: f64 = 0.02;
/// How far a reported number of requests may fall below the attempts known to be in flight. Counts
/// are whole numbers, so any value between 0 and 1 has the same effect.
const REPORT_TOLERANCE: f64 = 0.5;
/// Servers whose load exceeds the minimum by less than this, in requests of average work, are
/// treated as equally loaded. With a lower value, all balancers that check the same servers choose
/// the same one.
const EQUAL_LOAD_TOLERANCE: f64 = 0.25;

/// Result of the load checks of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LoadCheckResult {
    /// No server was checked.
    NotChecked,
    /// The least loaded of the servers that reported. Empty if none of them reported, or if all are
    /// suspected, not ready, or too loaded.
    LeastLoaded(Vec<ServerIndex>),
}

/// Whether a load report is used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReportValidity {
    /// The report is used.
    Accepted {
        /// Requests in flight at the server, as reported.
        in_flight: f64,
    },
    /// Reports fewer requests than this balancer has in flight there: stale or wrong.
    ContradictsOwnAttempts,
    /// Negative or not finite.
    Malformed,
}

/// Selects servers for load checks and evaluates their reports.
pub(crate) struct LoadChecker;

impl LoadChecker {
    /// Selects the candidates to check, in random order. Shuffles with `rng`.
    pub(crate) fn choose_servers(
        fleet: &Fleet,
        mut candidates: Vec<ServerIndex>,
        rng: &mut fastrand::Rng,
    ) -> Vec<ServerIndex> {
        rng.shuffle(&mut candidates);
        let utilization = fleet.estimators.utilization.utilization();
        let utilization = utilization.clamp(MIN_UTILIZATION, MAX_UTILIZATION);
        let count = MAX_PROBABILITY_NONE_IDLE.ln() / utilization.ln();
        candidates.truncate(count.clamp(MIN_CHECKED_SERVERS, MAX_CHECKED_SERVERS) as usize);
        candidates
    }

    /// How long a request waits for its load checks, in microseconds. Depends on the request's own
    /// objective, which is shorter than that of its class if its client has less time left.
    pub(crate) fn timeout(request: &RequestState) -> Micros {
        (request.objective() as f64 * TIMEOUT_FRACTION_OF_OBJECTIVE) as Micros
    }

    /// Returns the least loaded of the checked servers that reported since the request arrived.
    pub(crate) fn least_loaded(fleet: &Fleet, request: &RequestState) -> LoadCheckResult {
        let checked = request.load_checked();
        if checked.is_empty() {
            return LoadCheckResult::NotChecked;
        }
        let since = request.arrived_at();
        let mut servers: Vec<ServerIndex> = checked
            .iter()
            .filter_map(|&id| fleet.servers.find(id))
            .filter(|&index| has_usable_report(fleet, &fleet.servers[index], since))
            .collect();
        let estimates = fleet.estimates();
        let load = |index: &ServerIndex| estimates.load(&fleet.servers[*index]);
        let least = servers.iter().map(load).fold(f64::MAX, f64::min);
        let max_load = max_accepted_load(fleet).min(least + EQUAL_LOAD_TOLERANCE);
        servers.retain(|index| load(index) < max_load);
        LoadCheckResult::LeastLoaded(servers)
    }

    /// Validates a load report. One from a health check must include this balancer's attempts that
    /// were in flight when the check started.
    pub(crate) fn validate_report(
        source: LoadSource,
        server: &ServerState,
        report: LoadReport,
    ) -> ReportValidity {
        let in_flight = report.in_flight;
        if !in_flight.is_finite() || in_flight < 0.0 {
            return ReportValidity::Malformed;
        }
        let is_delayed = source == LoadSource::Responses;
        if is_delayed || in_flight + REPORT_TOLERANCE >= in_flight_before_check(server) {
            ReportValidity::Accepted { in_flight }
        } else {
            ReportValidity::ContradictsOwnAttempts
        }
    }
}

fn has_usable_report(fleet: &Fleet, server: &ServerState, since: Micros) -> bool {
    let is_usable = !server.suspicion.is_suspected() && fleet.is_ready(server);
    is_usable && server.load.updated_at() >= since
}

/// Upper bound on the load at which a checked server is preferred. If health checks are unreliable,
/// only a report of an idle server is used, so that no server is preferred merely because others
/// did not answer.
fn max_accepted_load(fleet: &Fleet) -> f64 {
    match fleet.health_check_trust() {
        HealthCheckTrust::Trusted => f64::MAX,
        HealthCheckTrust::Untrusted => 1.0 + fleet.estimators.utilization.utilization(),
    }
}

/// Number of this balancer's attempts that were in flight when the current health check started;
/// zero if no check is in progress.
fn in_flight_before_check(server: &ServerState) -> f64 {
    let check_started_at = server.health_check.started_at();
    server
        .in_flight()
        .iter()
        .filter(|attempt| Some(attempt.sent_at) < check_started_at)
        .count() as f64
}
