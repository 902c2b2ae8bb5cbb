//! Load and service time of servers at one moment, from all estimators together.

use crate::estimators::decaying_rate::decay_factor;
use crate::estimators::latency::LatencyEstimator;
use crate::policy::load_source::LoadSource;
use crate::state::{InFlightAttempt, ServerState};
use crate::{Micros, Settings};

/// Half-life of the estimated requests in flight from other balancers when responses report load,
/// in microseconds. Shorter, and a server without new reports soon looks idle; longer, and a server
/// is avoided after its load has fallen.
const OTHERS_IN_FLIGHT_HALF_LIFE: f64 = 4_000_000.0;
/// Lower bound of the divisor that converts a latency into a service time when responses report
/// load, in average requests. Without it, a small request that waited for another reason would make
/// its server look extremely slow.
const MIN_LOAD_DIVISOR_WITH_RESPONSE_REPORTS: f64 = 0.05;
/// Lower bound of the same divisor when responses do not report load.
const MIN_LOAD_DIVISOR: f64 = 0.2;

/// Estimates of load and service time at one moment.
pub(crate) struct Estimates<'a> {
    /// The settings.
    pub(crate) settings: &'a Settings,
    /// Time of the estimates, in microseconds.
    pub(crate) now: Micros,
    /// Service times observed so far.
    pub(crate) latency: &'a LatencyEstimator,
    /// True if load reports show how many requests servers hold.
    pub(crate) is_load_known: bool,
}

impl Estimates<'_> {
    /// Returns the queue depth of a server including one more request: this balancer's attempts in
    /// flight, and the last known requests of other balancers, discounted by their age.
    pub(crate) fn queue_depth(&self, server: &ServerState) -> f64 {
        let load = &server.load;
        if self.settings.load_source() == LoadSource::Responses {
            let from_others = load.in_flight_from_others(decay_factor(
                self.now,
                load.updated_at(),
                OTHERS_IN_FLIGHT_HALF_LIFE,
            ));
            return server.in_flight().len() as f64 + from_others + 1.0;
        }
        let age = self.now.saturating_sub(load.updated_at()) as f64;
        let freshness = (1.0 - age / (2.0 * self.latency.mean_service_time())).max(0.0);
        let own: f64 = server
            .in_flight()
            .iter()
            .map(|attempt| attempt.relative_work)
            .sum();
        own + load.in_flight_from_others(freshness) + 1.0
    }

    /// Returns the queue depth of a server, scaled by its relative service time.
    pub(crate) fn load(&self, server: &ServerState) -> f64 {
        self.queue_depth(server) * self.relative_service_time(server)
    }

    /// Returns the service time of a server relative to the fleet's for the same load. The slow
    /// start factor applies only if the load is known: otherwise a server in slow start is already
    /// drawn less often, and would be penalized twice.
    pub(crate) fn relative_service_time(&self, server: &ServerState) -> f64 {
        let slow_start = if self.is_load_known {
            server.slow_start.factor(self.now, self.settings)
        } else {
            1.0
        };
        self.latency_factor(server) / slow_start / (1.0 - server.failures.failure_rate())
    }

    /// Returns the latency factor of a server.
    pub(crate) fn latency_factor(&self, server: &ServerState) -> f64 {
        self.latency.latency_factor(
            &server.latency,
            self.machine_latency_factor(server),
            self.now,
        )
    }

    /// Returns the latency factor of a server's machine type; 1 if load checks precede each
    /// attempt, because the reported load then reflects the machine's speed.
    pub(crate) fn machine_latency_factor(&self, server: &ServerState) -> f64 {
        if self.settings.load_source() == LoadSource::LoadChecks {
            return 1.0;
        }
        self.latency
            .machine_latency_factor(server.endpoint().machine_type)
    }

    /// Returns the service time that a response implies for an otherwise idle server, in
    /// microseconds.
    pub(crate) fn observed_service_time(
        &self,
        server: &ServerState,
        attempt: &InFlightAttempt,
        latency: f64,
    ) -> f64 {
        if self.settings.load_source() == LoadSource::Responses {
            // The queue depth during the attempt is taken as the mean of the depths when it was
            // sent and when it ended. Latency due to slow start is not attributed to the server.
            let mean_depth = (attempt.queue_depth + self.queue_depth(server)) / 2.0;
            return latency * server.slow_start.factor(self.now, self.settings)
                / (mean_depth * attempt.relative_work).max(MIN_LOAD_DIVISOR_WITH_RESPONSE_REPORTS);
        }
        latency / (attempt.queue_depth - 1.0 + attempt.relative_work).max(MIN_LOAD_DIVISOR)
    }
}
