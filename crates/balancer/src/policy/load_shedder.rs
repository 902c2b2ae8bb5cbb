//! Load shedding: rejects some requests so that others are served within their objective.
//!
//! On arrival, a request whose client no longer waits is shed. So is one that could not meet its
//! latency objective even on an idle server, if late responses of its class have no value. After
//! server selection, the rule depends on the source of load information:
//!
//! - load checks: with the fullness `F` of the fleet and the value density `v` of the request, shed
//!   if requests are queued ahead and
//!   `expected > (1 - F * max(0, 1 - (0.6 - 0.25 * missed) * v)) * time left`.
//!   Classes whose late responses have value are exempt;
//! - load reports in responses: shed if the response is expected after the objective. A late
//!   response is accepted if it still has value, is expected before the deadline, less than 5 % of
//!   requests miss their objective, and the server is not in slow start;
//! - none, or load checks that are not trusted: shed at random with the probability
//!   `2 * (saturation - 0.32) / 0.35 - rank`, where the rank is 0 for the lowest and 1 for the
//!   highest priority weight. Classes whose late responses have value are exempt.
//!
//! `expected` is the expected response time, `missed` the fraction of recent requests whose
//! selected server was expected to miss the latency objective, and `saturation` the mean response
//! time as a fraction of the latency objective.

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

/// Work assumed on arrival for a request without a work hint, as a fraction of the mean service
/// time. If a late response has no value, the request is shed when its latency objective or its
/// time left is shorter than the assumed work.
const DEFAULT_WORK_FRACTION: f64 = 0.5;
/// Highest expected response time of a request of average value density, as a fraction of the time
/// left, when the fleet is full and no request misses its objective. A full fleet serves more
/// requests in time if it accepts only those that it can serve reliably. The value holds for loads
/// from 0.7 to 1.2 of capacity.
const TIME_LEFT_FRACTION_WHEN_FULL: f64 = 0.6;
/// Reduction of [`TIME_LEFT_FRACTION_WHEN_FULL`] when all requests miss their objective: 0.35 of
/// the time left remains. The value holds for loads from 0.7 to 1.2 of capacity.
const TIME_LEFT_FRACTION_MISS_PENALTY: f64 = 0.25;
/// Minimum load of the requests ahead that counts as a queue. A lower load is only a fractional
/// remainder of the estimate.
const MIN_LOAD_AHEAD: f64 = 0.5;
/// Late responses are no longer accepted once this fraction of requests is expected to miss the
/// latency objective: the capacity they take is needed for responses in time (docs/deployments.md).
const MAX_MISS_RATE_FOR_LATE_RESPONSES: f64 = 0.05;
/// Saturation above which requests of the lowest priority are shed; below it, none are. With 100
/// balancers, a threshold of 0.25 already sheds requests at moderate load (docs/fleet.md).
const SHEDDING_THRESHOLD: f64 = 0.32;
/// All requests are shed once the saturation exceeds [`SHEDDING_THRESHOLD`] by this. With a smaller
/// range, the shedding probability rises more steeply (docs/fleet.md).
const SHEDDING_RANGE: f64 = 0.35;
/// Increase of the shedding probability over the range. The range covers all priorities: with 2,
/// all requests of the lowest priority are shed at its midpoint, where shedding of the highest
/// priority begins.
const PROBABILITY_GAIN: f64 = 2.0;

/// Whether a request is shed, and for which reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShedDecision {
    /// Not shed.
    Admit,
    /// Its client no longer waits.
    DeadlinePassed,
    /// It would miss its objective even on an idle server.
    CannotMeetObjective,
    /// The selected server is expected to respond so late that its capacity is better used for
    /// other requests.
    ResponseTooLate,
    /// The fleet is saturated, and this request was chosen at random.
    Saturated,
}

/// Decides which requests are shed; owns the estimates of the missed objective rate and of
/// saturation.
#[derive(Default)]
pub(crate) struct LoadShedder {
    missed_objective_rate: MissedObjectiveRate,
    saturation: SaturationEstimator,
}

impl LoadShedder {
    /// Records a response that took this fraction of the latency objective, from 0 to 1.
    pub(crate) fn on_response(&mut self, objective_fraction: f64, now: Micros) {
        self.saturation.on_response(objective_fraction, now);
    }

    /// Records the rejection of an attempt by a server.
    pub(crate) fn on_rejected(&mut self, now: Micros) {
        self.saturation.on_rejected(now);
    }

    /// Decides on arrival whether a request is shed.
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

    /// Decides after server selection whether a request is shed. Draws a random number if the load
    /// of servers is unknown and late responses of the class have no value.
    pub(crate) fn decide_after_selection(
        &mut self,
        fleet: &Fleet,
        request: &RequestState,
        selection: Selection,
        rng: &mut fastrand::Rng,
    ) -> ShedDecision {
        let Some(server) = selection.server() else {
            self.missed_objective_rate.on_no_expected_miss();
            return ShedDecision::Admit;
        };
        if self.responds_too_late(fleet, request, server) {
            self.missed_objective_rate.on_expected_miss();
            return ShedDecision::ResponseTooLate;
        }
        match selection {
            Selection::LateServer(_) => self.missed_objective_rate.on_expected_miss(),
            Selection::Server(_) | Selection::NoCandidate => {
                self.missed_objective_rate.on_no_expected_miss();
            }
        }
        if self.is_shed_by_saturation(fleet, request, rng) {
            ShedDecision::Saturated
        } else {
            ShedDecision::Admit
        }
    }

    /// True if a server is expected to respond so late that its capacity is better used for other
    /// requests.
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

    /// Returns true if there is spare capacity for a late response. A server in slow start has
    /// none.
    fn accepts_late_response(
        &self,
        class: &RequestClass,
        forecast: &ResponseForecast<'_>,
        server: &ServerState,
    ) -> bool {
        let has_spare_capacity = !server.slow_start.is_active()
            && self.missed_objective_rate.rate() < MAX_MISS_RATE_FOR_LATE_RESPONSES;
        class.late_value > 0.0 && has_spare_capacity && !forecast.misses_deadline(server)
    }

    fn exceeds_time_budget(
        &self,
        fleet: &Fleet,
        forecast: &ResponseForecast<'_>,
        request: &RequestState,
        server: &ServerState,
    ) -> bool {
        if forecast.load_ahead(server) < MIN_LOAD_AHEAD {
            return false;
        }
        let max_fraction_when_full = TIME_LEFT_FRACTION_WHEN_FULL
            - TIME_LEFT_FRACTION_MISS_PENALTY * self.missed_objective_rate.rate();
        let excess = (1.0 - max_fraction_when_full * forecast.value_density()).max(0.0);
        let fraction = 1.0 - fleet.estimators.utilization.fullness() * excess;
        let time_left = request.objective_at().saturating_sub(fleet.now) as f64;
        forecast.expected_response_time(server) > fraction * time_left
    }

    /// Decides at random, with a probability that rises with the saturation. The saturation is
    /// derived from response times: a queue that all balancers fill together does not show in the
    /// few requests of this one.
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
