//! State of the fleet that the policies read.

use crate::estimators::{Estimates, Estimators};
use crate::policy::health_check_trust::HealthCheckTrust;
use crate::policy::load_source::LoadSource;
use crate::policy::subset_size::SubsetSize;
use crate::state::{EndpointTable, ServerState};
use crate::{EndpointStatus, Micros, Settings};

/// Settings, current time, servers and estimators. Policies read it through a shared reference;
/// only [`Balancer`](crate::Balancer) modifies it.
pub(crate) struct Fleet {
    /// Settings of the deployment.
    pub(crate) settings: Settings,
    /// Time of the current event, in microseconds.
    pub(crate) now: Micros,
    /// Known servers.
    pub(crate) servers: EndpointTable,
    /// Estimators fed by requests, responses and load reports.
    pub(crate) estimators: Estimators,
}

impl Fleet {
    /// Creates a fleet without servers or samples.
    pub(crate) fn new(settings: Settings) -> Self {
        let estimators = Estimators::new(settings.shortest_objective());
        Self {
            settings,
            now: 0,
            servers: EndpointTable::default(),
            estimators,
        }
    }

    /// Rate of requests arriving at this balancer, per microsecond; above zero.
    pub(crate) fn request_rate(&self) -> f64 {
        self.estimators.workload.request_rate(self.now)
    }

    /// Number of servers in this balancer's subset.
    pub(crate) fn subset_size(&self) -> usize {
        SubsetSize::compute(&self.settings, self.servers.len(), self.request_rate())
    }

    /// Returns whether the results of health checks are trusted at present.
    pub(crate) fn health_check_trust(&self) -> HealthCheckTrust {
        let failed = self.servers.servers_with_failed_check();
        HealthCheckTrust::assess(failed, || self.subset_size())
    }

    /// Returns true if requests are preceded by load checks whose reports are trusted.
    pub(crate) fn load_reports_trusted(&self) -> bool {
        self.settings.load_source() == LoadSource::LoadChecks
            && self.health_check_trust() == HealthCheckTrust::Trusted
    }

    /// Returns true if the number of requests at each server is known, from load checks or from
    /// load reports in responses.
    pub(crate) fn is_load_known(&self) -> bool {
        self.settings.load_source() == LoadSource::Responses || self.load_reports_trusted()
    }

    /// Removes servers whose state is no longer needed.
    pub(crate) fn remove_obsolete_servers(&mut self) {
        let settings = &self.settings;
        self.servers.retain(|server| !server.is_obsolete(settings));
    }

    /// Returns true if the endpoint list permits sending requests to the server. A server that was
    /// listed as draining stays excluded until it restarts or is removed, whatever later lists say.
    pub(crate) fn is_ready(&self, server: &ServerState) -> bool {
        let is_listed_ready = server.endpoint().status == EndpointStatus::Ready;
        (is_listed_ready || self.settings.allow_removed_servers) && !server.is_listed_as_draining()
    }

    /// Returns the estimates of load and service time for the current event.
    pub(crate) fn estimates(&self) -> Estimates<'_> {
        Estimates {
            settings: &self.settings,
            now: self.now,
            latency: &self.estimators.latency,
            is_load_known: self.is_load_known(),
        }
    }
}
