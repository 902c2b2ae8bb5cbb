//! The source of load information: how a balancer learns the number of requests in flight at each
//! server, depending on the settings.
//!
//! If health checks return load reports and cost little, a few servers are checked for each
//! request. If the checks are costly, they are too rare: their reports would be seconds old. In
//! this case, or if health checks return no reports, load reports in responses are used if there
//! are any. Otherwise queues are unknown, and response times are used in place of reports.

#[cfg(test)]
mod tests;

use crate::Settings;

/// Highest fee for one health check per request at which servers are checked for each request, in
/// units of the deployment's result ([`Fees`](crate::Fees)). Above it, the checks cost more than
/// the better choice of servers gains.
const MAX_LOAD_CHECK_FEE: f64 = 0.005;

/// Source of information on the load of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadSource {
    /// Health checks made for each request.
    LoadChecks,
    /// Load reports in responses, each out of date by some time when it arrives.
    Responses,
    /// No source.
    Unknown,
}

impl Settings {
    /// The source of load information that the settings provide.
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
