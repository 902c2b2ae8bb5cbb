//! Load, service time and value as estimated at one moment, from all estimators together.

use crate::estimators::decaying_rate::decay_factor;
use crate::estimators::latency::LatencyEstimator;
use crate::policy::load_source::LoadSource;
use crate::state::{InFlightAttempt, ServerState};
use crate::{Micros, Settings};

/// Half-life of what others have at a server where responses tell of it, in microseconds. Shorter,
/// and a server without new reports soon looks idle; longer, and a crowded one is avoided for
/// longer than it is crowded. Chosen by experiment on the testbed's deployments.
const OTHERS_IN_FLIGHT_HALF_LIFE: f64 = 4_000_000.0;
/// Least divisor of a latency where responses tell of load, in usual requests: a small request that
/// waited for something else would make its server look enormously slow. Chosen by experiment on
/// the testbed's deployments.
const MIN_LOAD_DIVISOR_WITH_RESPONSE_REPORTS: f64 = 0.05;
/// The same where they do not. Inherited with the first version of the module; its source was not
/// recorded.
const MIN_LOAD_DIVISOR: f64 = 0.2;

/// Estimates of load and service time at one moment.
pub(crate) struct Estimates<'a> {
    /// The settings.
    pub(crate) settings: &'a Settings,
    /// The moment.
    pub(crate) now: Micros,
    /// Service times so far.
    pub(crate) latency: &'a LatencyEstimator,
    /// Something tells how many requests servers hold.
    pub(crate) is_load_known: bool,
}

impl Estimates<'_> {
    /// Requests at a server with one more: this balancer's and what was last seen of others'.
    pub(crate) fn queue_depth(&self, server: &ServerState) -> f64 {
        let load = &server.load;
        if self.settings.load_source() == LoadSource::Responses {
            let elsewhere = load.in_flight_from_others(decay_factor(
                self.now,
                load.updated_at(),
                OTHERS_IN_FLIGHT_HALF_LIFE,
            ));
            return server.in_flight().len() as f64 + elsewhere + 1.0;
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

    /// Requests in flight, in the time that this server takes.
    pub(crate) fn load(&self, server: &ServerState) -> f64 {
        self.queue_depth(server) * self.relative_service_time(server)
    }

    /// How much longer than the fleet a server takes for the same load. Where nothing tells the
    /// queue of a server in slow start, it is spared by how seldom it is drawn, and not twice over.
    pub(crate) fn relative_service_time(&self, server: &ServerState) -> f64 {
        let slow_start = if self.is_load_known {
            server.slow_start.factor(self.now, self.settings)
        } else {
            1.0
        };
        self.latency_factor(server) / slow_start / (1.0 - server.failures.failure_rate())
    }

    /// The latency factor of a server.
    pub(crate) fn latency_factor(&self, server: &ServerState) -> f64 {
        self.latency.latency_factor(
            &server.latency,
            self.machine_latency_factor(server),
            self.now,
        )
    }

    /// The latency factor of a server's machine type; 1 where servers are asked for their load
    /// before a send, and so speak for themselves.
    pub(crate) fn machine_latency_factor(&self, server: &ServerState) -> f64 {
        if self.settings.load_source() == LoadSource::LoadChecks {
            return 1.0;
        }
        self.latency
            .machine_latency_factor(server.endpoint().machine_type)
    }

    /// The service time on an otherwise idle server that a response shows, in microseconds.
    pub(crate) fn observed_service_time(
        &self,
        server: &ServerState,
        attempt: &InFlightAttempt,
        latency: f64,
    ) -> f64 {
        if self.settings.load_source() == LoadSource::Responses {
            // The queue on the way lies between that at both ends, and slow start does not make a
            // server slow.
            let mean_depth = (attempt.queue_depth + self.queue_depth(server)) / 2.0;
            return latency * server.slow_start.factor(self.now, self.settings)
                / (mean_depth * attempt.relative_work).max(MIN_LOAD_DIVISOR_WITH_RESPONSE_REPORTS);
        }
        latency / (attempt.queue_depth - 1.0 + attempt.relative_work).max(MIN_LOAD_DIVISOR)
    }
}
