//! Server selection with the power of two choices.
//!
//! Two servers are drawn at random from the candidates, and the one with the lower load is
//! selected. Load is the queue depth times the server's relative service time. The service time is
//! derived from exponentially decaying means, as in peak EWMA. Candidates that are expected to
//! respond in time take precedence over all others. Without load checks, servers are drawn with the
//! weight
//!
//! ```text
//! cores * (1 - failure rate)^3 / latency factor
//! ```
//!
//! so that larger and faster machines receive more requests, and failing servers fewer than in
//! proportion to their success rate.

#[cfg(test)]
mod tests;

use crate::Micros;
use crate::estimators::Estimates;
use crate::fleet::Fleet;
use crate::policy::load_source::LoadSource;
use crate::policy::response_forecast::ResponseForecast;
use crate::state::{RequestState, ServerIndex, ServerState};
use crate::weighted_choice::weighted_choice;

/// Exponent of a server's success rate in its weight. With 1, requests would be distributed in
/// proportion to the success rate, although a failure costs the whole request and a retry.
const SUCCESS_RATE_EXPONENT: i32 = 3;
/// Maximum time that a request waits if there is no candidate, as a fraction of its latency
/// objective. After a longer wait, there is no time left to serve it.
const MAX_WAIT_FRACTION_OF_OBJECTIVE: f64 = 0.5;
/// Time after which server selection is repeated if there is no candidate, in microseconds; equal
/// to the balancer's tick interval.
const RESELECTION_INTERVAL: Micros = 25_000;

/// The servers from which one is selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidates {
    /// Their indices.
    pub(crate) servers: Vec<ServerIndex>,
    /// Whether load checks were made for this attempt.
    pub(crate) load_status: LoadStatus,
}

/// Whether load checks were made before server selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadStatus {
    /// Load checks were made. A server in slow start may be selected for its low load.
    Checked,
    /// No load checks were made. A server in slow start looks idle to all balancers at once, and is
    /// not preferred for its low load.
    Unchecked,
}

/// Result of server selection for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Selection {
    /// A server that is not expected to miss the latency objective.
    Server(ServerIndex),
    /// The better of two servers drawn from candidates that are all expected to miss the objective.
    LateServer(ServerIndex),
    /// There is no candidate.
    NoCandidate,
}

impl Selection {
    /// The selected server, if there is one.
    pub(crate) fn server(self) -> Option<ServerIndex> {
        match self {
            Self::Server(server) | Self::LateServer(server) => Some(server),
            Self::NoCandidate => None,
        }
    }
}

/// How a request without candidates proceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerWait {
    /// Server selection is repeated after this time, in microseconds.
    WaitFor(Micros),
    /// The maximum wait is reached; the request gets its final response.
    MaxWaitReached,
}

/// Selects servers for attempts.
pub(crate) struct ServerSelector;

impl ServerSelector {
    /// Selects a server for an attempt. Draws two random numbers if there are candidates.
    pub(crate) fn select(
        fleet: &Fleet,
        request: &RequestState,
        candidates: &Candidates,
        rng: &mut fastrand::Rng,
    ) -> Selection {
        let forecast = ResponseForecast::new(fleet, request);
        let is_in_time = |index: &ServerIndex| !forecast.misses_objective(&fleet.servers[*index]);
        let all = &candidates.servers;
        let in_time: Vec<ServerIndex> = all.iter().copied().filter(is_in_time).collect();
        let load_status = candidates.load_status;
        if in_time.is_empty() {
            let best = better_of_two(fleet, all, load_status, rng);
            best.map_or(Selection::NoCandidate, Selection::LateServer)
        } else {
            let best = better_of_two(fleet, &in_time, load_status, rng);
            best.map_or(Selection::NoCandidate, Selection::Server)
        }
    }

    /// Decides whether a request without candidates waits. It does if there is time to repeat the
    /// selection at least twice.
    pub(crate) fn wait_for_server(now: Micros, request: &RequestState) -> ServerWait {
        let max_wait = (request.objective() as f64 * MAX_WAIT_FRACTION_OF_OBJECTIVE) as Micros;
        let wait_until = request.deadline_at().min(request.arrived_at() + max_wait);
        if now + 2 * RESELECTION_INTERVAL < wait_until {
            ServerWait::WaitFor(RESELECTION_INTERVAL)
        } else {
            ServerWait::MaxWaitReached
        }
    }
}

/// Draws two servers with replacement and returns the less loaded one. Without load checks, a
/// server in slow start is returned only if it is drawn first, never for its low load.
fn better_of_two(
    fleet: &Fleet,
    servers: &[ServerIndex],
    load_status: LoadStatus,
    rng: &mut fastrand::Rng,
) -> Option<ServerIndex> {
    let (first, second) = draw_two(fleet, servers, rng)?;
    let is_in_slow_start = |index: ServerIndex| fleet.servers[index].slow_start.is_active();
    let is_any_in_slow_start = is_in_slow_start(first) || is_in_slow_start(second);
    if load_status == LoadStatus::Unchecked && is_any_in_slow_start {
        return Some(first);
    }
    let estimates = fleet.estimates();
    let load = |index: ServerIndex| load_for_comparison(&estimates, &fleet.servers[index]);
    let is_second_less_loaded = load(second) < load(first);
    Some(if is_second_less_loaded { second } else { first })
}

/// Draws two servers with replacement. With load checks, all have the same weight: their reports
/// already reflect the capacity of their machines.
fn draw_two(
    fleet: &Fleet,
    servers: &[ServerIndex],
    rng: &mut fastrand::Rng,
) -> Option<(ServerIndex, ServerIndex)> {
    if fleet.settings.load_source() == LoadSource::LoadChecks {
        let first = *rng.choice(servers)?;
        let second = *rng.choice(servers)?;
        return Some((first, second));
    }
    let estimates = fleet.estimates();
    let weights: Vec<f64> = servers
        .iter()
        .map(|&index| draw_weight(&estimates, &fleet.servers[index]))
        .collect();
    let first = weighted_choice(&weights, rng)?;
    let second = weighted_choice(&weights, rng)?;
    Some((servers[first], servers[second]))
}

fn draw_weight(estimates: &Estimates<'_>, server: &ServerState) -> f64 {
    let success_rate = 1.0 - server.failures.failure_rate();
    let cores = server.endpoint().machine_type.cores;
    let capacity = cores * success_rate.powi(SUCCESS_RATE_EXPONENT);
    capacity / estimates.latency_factor(server)
}

/// The load by which two servers are compared. Without a source of load information, it is the load
/// of the attempts in flight per core. The request to be sent is left out: the weight in the draw
/// already accounts for its service time.
fn load_for_comparison(estimates: &Estimates<'_>, server: &ServerState) -> f64 {
    let load = estimates.load(server);
    if estimates.settings.load_source() != LoadSource::Unknown {
        return load;
    }
    let own_service_time = estimates.relative_service_time(server);
    (load - own_service_time) / server.endpoint().machine_type.cores
}
