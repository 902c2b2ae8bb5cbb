//! The fleet as this balancer knows it: what decisions read.

use crate::estimators::{Estimates, Estimators};
use crate::policy::health_check_trust::HealthCheckTrust;
use crate::policy::load_source::LoadSource;
use crate::policy::subset_size::SubsetSize;
use crate::state::{EndpointTable, ServerState};
use crate::{EndpointStatus, Micros, Settings};

/// The settings, the time, the servers and the estimates. Decisions get it by shared reference:
/// they read all of it and change nothing. Only [`Balancer`](crate::Balancer) changes it.
pub(crate) struct Fleet {
    /// The settings of the deployment.
    pub(crate) settings: Settings,
    /// Time of the current event, in microseconds.
    pub(crate) now: Micros,
    /// The servers.
    pub(crate) servers: EndpointTable,
    /// What requests, responses and load reports have shown.
    pub(crate) estimators: Estimators,
}

impl Fleet {
    /// A fleet of which nothing is known but the settings.
    pub(crate) fn new(settings: Settings) -> Self {
        let estimators = Estimators::new(settings.shortest_objective());
        Self {
            settings,
            now: 0,
            servers: EndpointTable::default(),
            estimators,
        }
    }

    /// Requests that this balancer gets per microsecond, above zero.
    pub(crate) fn request_rate(&self) -> f64 {
        self.estimators.workload.request_rate(self.now)
    }

    /// Number of servers that this balancer uses.
    pub(crate) fn subset_size(&self) -> usize {
        SubsetSize::servers(&self.settings, self.servers.len(), self.request_rate())
    }

    /// Whether the results of health checks are believed.
    pub(crate) fn health_check_trust(&self) -> HealthCheckTrust {
        let failed = self.servers.failed_health_checks();
        HealthCheckTrust::assess(failed, || self.subset_size())
    }

    /// True where servers are asked for their load before a send, and their reports are believed.
    pub(crate) fn load_reports_trusted(&self) -> bool {
        self.settings.load_source() == LoadSource::LoadChecks
            && self.health_check_trust() == HealthCheckTrust::Trusted
    }

    /// True where something tells how many requests servers hold.
    pub(crate) fn is_load_known(&self) -> bool {
        self.settings.load_source() == LoadSource::Responses || self.load_reports_trusted()
    }

    /// Forgets the servers of which nothing is left to be known.
    pub(crate) fn forget_gone_servers(&mut self) {
        let settings = &self.settings;
        self.servers.retain(|server| !server.is_gone(settings));
    }

    /// True where a server may be sent requests as far as the endpoint list tells. One that was
    /// listed as draining may not until it restarts or is removed, whatever later lists say.
    pub(crate) fn is_ready(&self, server: &ServerState) -> bool {
        let is_listed = server.endpoint().status == EndpointStatus::Ready;
        (is_listed || self.settings.allow_removed_servers) && !server.is_drain_listed()
    }

    /// Estimates of load and service time as of now.
    pub(crate) fn estimates(&self) -> Estimates<'_> {
        Estimates {
            settings: &self.settings,
            now: self.now,
            latency: &self.estimators.latency,
            is_load_known: self.is_load_known(),
        }
    }
}
