//! Load checks: which servers are asked for their load before a request is sent, and which reports
//! are believed.
//!
//! A balancer's own attempts tell little of a server's load where others send to it too. So, as in
//! Prequal, some random servers are asked (probed) for their requests in flight, and the request
//! goes to one of the least loaded. With the utilization `u` of the fleet, `ln(0.05) / ln(u)`
//! servers are asked, from 2 to 8: with so many, the chance that none of them is idle is one in
//! twenty. Unlike in Prequal the checks are made for each request, and there is no pool of earlier
//! answers.

#[cfg(test)]
mod tests;

use crate::fleet::Fleet;
use crate::policy::health_check_trust::HealthCheckTrust;
use crate::policy::load_source::LoadSource;
use crate::state::{RequestState, ServerIndex, ServerState};
use crate::{LoadReport, Micros};

/// Fewest servers that are asked: choosing among one would be no choice.
const MIN_CHECKED_SERVERS: f64 = 2.0;
/// Most servers that are asked, however full the fleet: it bounds the cost of a request. Inherited
/// with the first version of the module; its source was not recorded.
const MAX_CHECKED_SERVERS: f64 = 8.0;
/// Accepted probability that no server is idle among those that are asked. Lower, and more are
/// asked. Inherited with the first version of the module; its source was not recorded.
const MAX_MISS_PROBABILITY: f64 = 0.05;
/// Bounds of the utilization in the logarithm, whose value at 0 and at 1 is of no use.
const MIN_UTILIZATION: f64 = 0.01;
const MAX_UTILIZATION: f64 = 0.99;
/// Share of the latency objective for which a request waits for its load checks. Longer, and a
/// server that does not answer costs the time of the request itself. Inherited with the first
/// version of the module; its source was not recorded.
const TIMEOUT_FRACTION_OF_OBJECTIVE: f64 = 0.02;
/// Requests by which a report may fall below the attempts that are known to be in flight and still
/// be believed. Any value between 0 and 1 says the same of whole numbers.
const REPORT_TOLERANCE: f64 = 0.5;
/// Servers whose load is within this of the least loaded one's count as equally loaded, in usual
/// requests. With less, all balancers that asked the same servers choose the same one. Inherited
/// with the first version of the module; its source was not recorded.
const EQUAL_LOAD_TOLERANCE: f64 = 0.25;

/// What the load checks of a request found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LoadCheckResult {
    /// No server was asked.
    NotChecked,
    /// The least loaded servers of those that answered; none where all are busy, silent or
    /// suspected.
    LeastLoaded(Vec<ServerIndex>),
}

/// What becomes of a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReportValidity {
    /// The server holds this many requests.
    Accepted {
        /// Requests in flight there.
        in_flight: f64,
    },
    /// It falls below what is known to be in flight: frozen or wrong.
    ContradictsOwnAttempts,
    /// It is no number of requests.
    Malformed,
}

/// Decides about load checks and load reports.
pub(crate) struct LoadChecker;

impl LoadChecker {
    /// Which of the candidates are asked for their load. Draws their order.
    pub(crate) fn choose_servers(
        fleet: &Fleet,
        mut candidates: Vec<ServerIndex>,
        rng: &mut fastrand::Rng,
    ) -> Vec<ServerIndex> {
        rng.shuffle(&mut candidates);
        let utilization = fleet.estimators.utilization.utilization();
        let bounded = utilization.clamp(MIN_UTILIZATION, MAX_UTILIZATION);
        let wanted = MAX_MISS_PROBABILITY.ln() / bounded.ln();
        candidates.truncate(wanted.clamp(MIN_CHECKED_SERVERS, MAX_CHECKED_SERVERS) as usize);
        candidates
    }

    /// How long a request waits for its load checks, in microseconds. Goes by its own objective, as
    /// its client may have had less time than its class says.
    pub(crate) fn timeout(request: &RequestState) -> Micros {
        (request.objective() as f64 * TIMEOUT_FRACTION_OF_OBJECTIVE) as Micros
    }

    /// The least loaded of the servers that answered since the request arrived.
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

    /// Whether a load report of a server is believed. One that a health check brought must hold the
    /// own attempts that were in flight when the check started.
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

/// Where health checks are unreliable, a server that reports to be idle is believed, but no other
/// is preferred because it is silent.
fn max_accepted_load(fleet: &Fleet) -> f64 {
    match fleet.health_check_trust() {
        HealthCheckTrust::Trusted => f64::MAX,
        HealthCheckTrust::Untrusted => 1.0 + fleet.estimators.utilization.utilization(),
    }
}

/// Own attempts that were in flight when the health check in progress started; none without a
/// check.
fn in_flight_before_check(server: &ServerState) -> f64 {
    let check_started_at = server.health_check.started_at();
    server
        .in_flight()
        .iter()
        .filter(|attempt| Some(attempt.sent_at) < check_started_at)
        .count() as f64
}
