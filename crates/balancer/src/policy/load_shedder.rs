//! Which requests are shed so that others are served in time.
//!
//! On arrival, a request is shed that cannot meet its latency objective on an idle server, where a
//! late response has no value. Once a server has been selected, the law depends on what tells of
//! load:
//!
//! - load checks: with the fullness `F` and the value density `v`, shed where requests wait ahead
//!   and `expected > (1 - F * max(0, 1 - (0.6 - 0.25 * missed) * v)) * time left`;
//! - responses: shed where the objective is expected to be missed, unless a late response still has
//!   value, is expected before the deadline, and less than 5 % of requests miss their objective;
//! - nothing: shed at random with the probability `2 * (saturation - 0.32) / 0.35 - rank`, where
//!   the rank is 0 for the least and 1 for the greatest priority weight.
//!
//! `missed` is the share of recent requests for which no server was found in time, `saturation` the
//! mean share of the latency objective that responses take.

#[cfg(test)]
mod tests;

use crate::estimators::missed_objective::MissedObjectiveRate;
use crate::estimators::saturation::SaturationEstimator;
use crate::fleet::Fleet;
use crate::policy::load_source::LoadSource;
use crate::policy::response_forecast::ResponseForecast;
use crate::policy::server_selector::Selection;
use crate::state::{RequestState, ServerIndex, ServerState};
use crate::{IncomingRequest, Micros, RequestClass};

/// Work of a request without a work hint on arrival, as a share of the mean service time: with less
/// time left than this it is shed. Inherited with the first version of the module; its source was
/// not recorded.
const DEFAULT_WORK_FRACTION: f64 = 0.5;
/// Share of the time left within which a response must be expected where the fleet is full and no
/// request misses its objective, for a request of usual value. A fleet that is full serves more by
/// taking only what it serves for sure. Chosen by experiment over loads from 0.7 to 1.2 of
/// capacity.
const MAX_TIME_FRACTION_WHEN_FULL: f64 = 0.6;
/// What that share loses as all requests miss their objective: 0.35 of the time left then. Chosen
/// by experiment over loads from 0.7 to 1.2 of capacity.
const TIME_FRACTION_MISS_PENALTY: f64 = 0.25;
/// Requests ahead of a request from which there is a queue. Below, what is ahead is the rest of an
/// estimate. Inherited with the first version of the module; its source was not recorded.
const MIN_REQUESTS_AHEAD: f64 = 0.5;
/// Share of requests that find no server in time, above which late responses are not bought any
/// more: the capacity they take is needed for responses in time. Chosen by experiment on the
/// testbed's deployments (docs/deployments.md).
const MAX_MISS_RATE_FOR_LATE_RESPONSES: f64 = 0.05;
/// Saturation above which requests of the least priority are shed. Below it, nothing is. Chosen by
/// experiment: with 100 balancers 0.25 shed at moderate load, and 0.30 to 0.40 were tried
/// (docs/fleet.md).
const SHEDDING_THRESHOLD: f64 = 0.32;
/// Saturation above the threshold at which all requests are shed; a smaller span sheds more
/// steeply. Chosen by experiment: 0.20 to 0.50 were tried (docs/fleet.md).
const SHEDDING_RANGE: f64 = 0.35;
/// Rise of the shedding probability over the span. With 2, all requests of the least priority are
/// shed in the middle of it, where those of the greatest begin to be. Follows from the span being
/// for all of them.
const PROBABILITY_GAIN: f64 = 2.0;

/// Whether a request is shed, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShedDecision {
    /// It is not.
    Admit,
    /// Its client does not wait any more.
    DeadlinePassed,
    /// It would miss its objective on an idle server.
    CannotMeetObjective,
    /// The server selected would respond so late that its work is better spent on another request.
    ResponseTooLate,
    /// The fleet is saturated, and chance took this one.
    Saturated,
}

/// Sheds load; owns what tells of a full fleet where no load is reported.
#[derive(Default)]
pub(crate) struct LoadShedder {
    missed_objectives: MissedObjectiveRate,
    saturation: SaturationEstimator,
}

impl LoadShedder {
    /// A response took this share of the latency objective, from 0 to 1.
    pub(crate) fn on_response(&mut self, objective_share: f64, now: Micros) {
        self.saturation.on_response(objective_share, now);
    }

    /// A server rejected an attempt.
    pub(crate) fn on_rejected(&mut self, now: Micros) {
        self.saturation.on_rejected(now);
    }

    /// Whether a request is shed on arrival.
    pub(crate) fn decide_on_arrival(
        fleet: &Fleet,
        incoming: &IncomingRequest,
        class: &RequestClass,
        request: &RequestState,
    ) -> ShedDecision {
        let work = match incoming.work_hint {
            Some(hint) if hint > 0 => hint as f64,
            _ => {
                let mean_service_time = fleet.estimators.latency.mean_service_time();
                mean_service_time * DEFAULT_WORK_FRACTION
            }
        };
        if class.late_value == 0.0 && work > request.objective() as f64 {
            ShedDecision::CannotMeetObjective
        } else if incoming.time_left == 0 {
            ShedDecision::DeadlinePassed
        } else {
            ShedDecision::Admit
        }
    }

    /// Whether a request is shed for which a server was sought. Draws a random number where nothing
    /// tells of load.
    pub(crate) fn decide_after_selection(
        &mut self,
        fleet: &Fleet,
        request: &RequestState,
        selection: Selection,
        rng: &mut fastrand::Rng,
    ) -> ShedDecision {
        let Some(server) = selection.server() else {
            self.missed_objectives.on_met();
            return ShedDecision::Admit;
        };
        if self.responds_too_late(fleet, request, server) {
            self.missed_objectives.on_missed();
            return ShedDecision::ResponseTooLate;
        }
        match selection {
            Selection::LateServer(_) => self.missed_objectives.on_missed(),
            Selection::Server(_) | Selection::NoCandidate => self.missed_objectives.on_met(),
        }
        if self.is_shed_by_saturation(fleet, request, rng) {
            ShedDecision::Saturated
        } else {
            ShedDecision::Admit
        }
    }

    /// True where a server would respond so late that its work is better spent on another request.
    pub(crate) fn responds_too_late(
        &self,
        fleet: &Fleet,
        request: &RequestState,
        server: ServerIndex,
    ) -> bool {
        let server = &fleet.servers[server];
        let forecast = ResponseForecast::new(fleet, request);
        let class = fleet.settings.class(request.class());
        match fleet.settings.load_source() {
            LoadSource::Responses => {
                forecast.misses_objective(server)
                    && !self.accepts_late_response(class, &forecast, server)
            }
            LoadSource::LoadChecks if class.late_value == 0.0 && fleet.load_reports_trusted() => {
                self.exceeds_time_budget(fleet, &forecast, request, server)
            }
            LoadSource::LoadChecks | LoadSource::Unknown => false,
        }
    }

    /// A late response is bought where there is room for it; a server in slow start has none.
    fn accepts_late_response(
        &self,
        class: &RequestClass,
        forecast: &ResponseForecast<'_>,
        server: &ServerState,
    ) -> bool {
        let has_spare_capacity = !server.slow_start.is_active()
            && self.missed_objectives.rate() < MAX_MISS_RATE_FOR_LATE_RESPONSES;
        class.late_value > 0.0 && has_spare_capacity && !forecast.misses_deadline(server)
    }

    fn exceeds_time_budget(
        &self,
        fleet: &Fleet,
        forecast: &ResponseForecast<'_>,
        request: &RequestState,
        server: &ServerState,
    ) -> bool {
        if forecast.requests_ahead(server) < MIN_REQUESTS_AHEAD {
            return false;
        }
        let max_fraction_when_full = MAX_TIME_FRACTION_WHEN_FULL
            - TIME_FRACTION_MISS_PENALTY * self.missed_objectives.rate();
        let excess = (1.0 - max_fraction_when_full * forecast.value_density()).max(0.0);
        let share = 1.0 - fleet.estimators.utilization.fullness() * excess;
        let time_left = request.objective_at().saturating_sub(fleet.now) as f64;
        forecast.expected_service_time(server) > share * time_left
    }

    /// Sheds as much as the saturation asks for. Queues that all balancers fill together show in
    /// none of their own few requests, but in how long responses take.
    fn is_shed_by_saturation(
        &self,
        fleet: &Fleet,
        request: &RequestState,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let class = fleet.settings.class(request.class());
        if fleet.is_load_known() || class.late_value > 0.0 {
            return false;
        }
        let rank = fleet.settings.priority_rank(class);
        let excess = self.saturation.saturation(fleet.now) - SHEDDING_THRESHOLD;
        rng.f64() < PROBABILITY_GAIN * excess / SHEDDING_RANGE - rank
    }
}
