//! Policies that keep state between events.

use crate::fleet::Fleet;
use crate::policy::{
    Admission, CandidateFilter, EndpointPoller, FailureDetector, GossipProtocol, HealthChecker,
    LoadShedder, RetryPolicy, SlowStartAdmission, Subsetter,
};
use crate::state::{RetryScope, ServerIndex};
use crate::{ServerId, Settings};

/// Policies that keep state; the remaining policies are stateless. Policies do not refer to each
/// other.
pub(super) struct Policies {
    /// Selects the servers in use.
    pub(super) subsetter: Subsetter,
    /// Limits how often servers in slow start become candidates.
    pub(super) slow_start_admission: SlowStartAdmission,
    /// Sheds requests under overload.
    pub(super) load_shedder: LoadShedder,
    /// Decides about retries and hedged requests.
    pub(super) retry_policy: RetryPolicy,
    /// Detects failed servers.
    pub(super) failure_detector: FailureDetector,
    /// Schedules health checks.
    pub(super) health_checker: HealthChecker,
    /// Exchanges suspicions and indirect checks with other balancers.
    pub(super) gossip: GossipProtocol,
    /// Schedules polls of the endpoint list.
    pub(super) endpoint_poller: EndpointPoller,
}

impl Policies {
    /// Creates policies without samples.
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            subsetter: Subsetter::default(),
            slow_start_admission: SlowStartAdmission::new(),
            load_shedder: LoadShedder::default(),
            retry_policy: RetryPolicy::new(),
            failure_detector: FailureDetector::new(settings.shortest_objective()),
            health_checker: HealthChecker::default(),
            gossip: GossipProtocol::default(),
            endpoint_poller: EndpointPoller::default(),
        }
    }

    /// Returns the candidates for an attempt: the trusted servers of the subset that slow start
    /// admission admits. If there are none, also suspected and possibly draining servers are
    /// candidates, as far as they are ready and admitted.
    pub(super) fn candidates(
        &self,
        fleet: &mut Fleet,
        scope: RetryScope,
        tried: &[ServerId],
        rng: &mut fastrand::Rng,
    ) -> Vec<ServerIndex> {
        let subsetter = &self.subsetter;
        let trusted = subsetter.candidates(fleet, scope, tried, CandidateFilter::TrustedOnly);
        let trusted = self.admit(fleet, trusted, rng);
        if !trusted.is_empty() {
            return trusted;
        }
        let ready = subsetter.candidates(fleet, scope, tried, CandidateFilter::AnyReady);
        self.admit(fleet, ready, rng)
    }

    /// Returns the candidates for a load check or a random scheduled check: the trusted servers of
    /// the subset that slow start admission admits. Unlike for attempts, there is no fallback to
    /// other servers.
    pub(super) fn check_candidates(
        &self,
        fleet: &mut Fleet,
        rng: &mut fastrand::Rng,
    ) -> Vec<ServerIndex> {
        let filter = CandidateFilter::TrustedOnly;
        let subsetter = &self.subsetter;
        let trusted = subsetter.candidates(fleet, RetryScope::Anywhere, &[], filter);
        self.admit(fleet, trusted, rng)
    }

    /// Retains the servers that slow start admission admits, and ends the slow start of those that
    /// have reached their full capacity.
    fn admit(
        &self,
        fleet: &mut Fleet,
        mut servers: Vec<ServerIndex>,
        rng: &mut fastrand::Rng,
    ) -> Vec<ServerIndex> {
        servers.retain(|&index| {
            let admission = &self.slow_start_admission;
            match admission.admit(fleet, &fleet.servers[index], rng) {
                Admission::Warm => {
                    fleet.servers[index].slow_start.on_warmed_up();
                    true
                }
                Admission::Admitted => true,
                Admission::WorkLimitReached | Admission::SkippedAtRandom => false,
            }
        });
        servers
    }
}
