//! What tells a balancer how many requests servers hold, as the settings of the deployment have it.
//!
//! Where health checks return load reports and cost little, servers are asked before each send.
//! Where they are costly, what is known of queues would be seconds old; then load reports in
//! responses are used, if there are any. Else nothing tells of queues, and response times stand in.

#[cfg(test)]
mod tests;

use crate::Settings;

/// Highest fee for one health check per request, as a fraction of the deployment's result, at which
/// servers are asked before each send. Above it the checks cost more than the choice gains.
/// Inherited with the first version of the module; its source was not recorded.
const MAX_LOAD_CHECK_FEE: f64 = 0.005;

/// What tells of the load of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadSource {
    /// Health checks that are made for each request.
    LoadChecks,
    /// Responses to attempts, which were under way for some time.
    Responses,
    /// Nothing.
    Unknown,
}

impl Settings {
    /// What tells of the load of servers.
    pub(crate) fn load_source(&self) -> LoadSource {
        let can_check = self.host.load_reports_in_health_checks && self.host.health_checks;
        if can_check && self.fees.health_check <= MAX_LOAD_CHECK_FEE {
            LoadSource::LoadChecks
        } else if self.host.load_reports_in_responses {
            LoadSource::Responses
        } else {
            LoadSource::Unknown
        }
    }
}
