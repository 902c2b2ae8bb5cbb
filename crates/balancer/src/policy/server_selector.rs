//! Which server a request goes to.
//!
//! Two random choices: of two servers that are drawn from the candidates, the one with the lower
//! load is taken. Load is the queue depth times the server's relative service time, a moving mean
//! that decays, as with peak EWMA. Candidates that are expected to respond in time go before all
//! others. Where no load checks are made, a server is drawn with a weight of
//!
//! ```text
//! cores * (1 - failure rate)^3 / latency factor
//! ```
//!
//! so that larger and faster machines get more, and servers that fail get less than their share of
//! successes.

#[cfg(test)]
mod tests;

use crate::Micros;
use crate::estimators::Estimates;
use crate::fleet::Fleet;
use crate::policy::load_source::LoadSource;
use crate::policy::response_forecast::ResponseForecast;
use crate::state::{RequestState, ServerIndex, ServerState};
use crate::weighted_choice::weighted_choice;

/// Exponent of a server's success rate in its weight: 1 would give it its share of the requests
/// although a failure costs the whole request, and a retry. Chosen by experiment on the testbed.
const SUCCESS_RATE_EXPONENT: i32 = 3;
/// Share of the latency objective for which a request waits where no server is known. Longer, and
/// there is no time left to serve it. Inherited with the first version of the module; its source
/// was not recorded.
const MAX_WAIT_FRACTION_OF_OBJECTIVE: f64 = 0.5;
/// Time between two looks for a server, in microseconds: that of the balancer's tick.
const RESELECTION_INTERVAL: Micros = 25_000;

/// The servers that may get a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidates {
    /// Their indices.
    pub(crate) servers: Vec<ServerIndex>,
    /// Whether servers were asked for their load for this attempt.
    pub(crate) load_status: LoadStatus,
}

/// Whether servers were asked for their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadStatus {
    /// They were asked: also one in slow start may be taken for its low load.
    Checked,
    /// They were not: one in slow start looks idle to all balancers at once.
    Unchecked,
}

/// The server of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Selection {
    /// This one, which is expected to respond in time, or of which nothing is expected.
    Server(ServerIndex),
    /// No candidate is expected to respond in time; this is the best of those that were drawn.
    LateServer(ServerIndex),
    /// There is no candidate.
    NoCandidate,
}

impl Selection {
    /// The server, if there is one.
    pub(crate) fn server(self) -> Option<ServerIndex> {
        match self {
            Self::Server(server) | Self::LateServer(server) => Some(server),
            Self::NoCandidate => None,
        }
    }
}

/// What a request does for which no server is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerWait {
    /// It looks again after so many microseconds.
    WaitFor(Micros),
    /// It has waited for as long as it may.
    GiveUp,
}

/// Selects servers for attempts.
pub(crate) struct ServerSelector;

impl ServerSelector {
    /// Selects a server for an attempt. Draws two random numbers where there are candidates.
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

    /// What a request does for which no server is known: it waits while there is time for two
    /// looks.
    pub(crate) fn wait_for_server(now: Micros, request: &RequestState) -> ServerWait {
        let max_wait = (request.objective() as f64 * MAX_WAIT_FRACTION_OF_OBJECTIVE) as Micros;
        let wait_until = request.deadline_at().min(request.arrived_at() + max_wait);
        if now + 2 * RESELECTION_INTERVAL < wait_until {
            ServerWait::WaitFor(RESELECTION_INTERVAL)
        } else {
            ServerWait::GiveUp
        }
    }
}

/// Draws two servers, which may be the same one, and compares their load. One in slow start is
/// taken where it is drawn first, never for its low load, unless loads were checked.
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

/// With load checks all servers are drawn alike: what they report says what their machines can do.
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

/// What two servers are compared by. Where nothing reports load these are the attempts in flight
/// against the machine's cores, as its weight in the draw stands for the rest already.
fn load_for_comparison(estimates: &Estimates<'_>, server: &ServerState) -> f64 {
    let load = estimates.load(server);
    if estimates.settings.load_source() != LoadSource::Unknown {
        return load;
    }
    let own_service_time = estimates.relative_service_time(server);
    (load - own_service_time) / server.endpoint().machine_type.cores
}
