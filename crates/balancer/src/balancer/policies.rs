//! The decisions that keep state between events.

use crate::fleet::Fleet;
use crate::policy::{
    Admission, CandidateFilter, EndpointPoller, FailureDetector, GossipProtocol, HealthChecker,
    LoadShedder, RetryPolicy, SlowStartAdmission, Subsetter,
};
use crate::state::{RetryScope, ServerIndex};
use crate::{ServerId, Settings};

/// One of each decision that keeps state; the others are functions of the fleet. None knows
/// another.
pub(super) struct Policies {
    /// Which servers are used.
    pub(super) subsetter: Subsetter,
    /// Whether a server in slow start takes part in a draw.
    pub(super) slow_start_admission: SlowStartAdmission,
    /// Which requests are shed.
    pub(super) load_shedder: LoadShedder,
    /// Which requests are sent again.
    pub(super) retry_policy: RetryPolicy,
    /// Which servers are suspected.
    pub(super) failure_detector: FailureDetector,
    /// Which server's health is checked next.
    pub(super) health_checker: HealthChecker,
    /// What other balancers are told.
    pub(super) gossip: GossipProtocol,
    /// When the endpoint list is polled.
    pub(super) endpoint_poller: EndpointPoller,
}

impl Policies {
    /// Decisions that have seen nothing.
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

    /// The trusted servers of the subset that are admitted to a draw, else any that are.
    pub(super) fn candidates(
        &self,
        fleet: &mut Fleet,
        scope: RetryScope,
        tried: &[ServerId],
        rng: &mut fastrand::Rng,
    ) -> Vec<ServerIndex> {
        let subset = &self.subsetter;
        let trusted = subset.candidates(fleet, scope, tried, CandidateFilter::TrustedOnly);
        let trusted = self.admit(fleet, trusted, rng);
        if !trusted.is_empty() {
            return trusted;
        }
        let ready = subset.candidates(fleet, scope, tried, CandidateFilter::AnyReady);
        self.admit(fleet, ready, rng)
    }

    /// The trusted servers of the subset that are admitted to a draw.
    pub(super) fn trusted_candidates(
        &self,
        fleet: &mut Fleet,
        rng: &mut fastrand::Rng,
    ) -> Vec<ServerIndex> {
        let filter = CandidateFilter::TrustedOnly;
        let subset = &self.subsetter;
        let trusted = subset.candidates(fleet, RetryScope::Anywhere, &[], filter);
        self.admit(fleet, trusted, rng)
    }

    /// Leaves the servers that slow start admits to a draw; ends the slow start of those that are
    /// warm.
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
                Admission::OverQuota | Admission::SkippedAtRandom => false,
            }
        });
        servers
    }
}
