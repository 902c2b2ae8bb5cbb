//! Sends a request again.

use crate::balancer::Balancer;
use crate::policy::retry_policy::{RetryDecision, RetryPolicy, RetryTarget};
use crate::{Actions, RequestId};

impl Balancer {
    /// Sends a request again, as a retry or a hedge, where that is permitted, useful and affordable.
    pub(crate) fn retry(&mut self, id: RequestId, actions: &mut Actions) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let decision = self.policies.retry_policy.decide(&self.fleet, request);
        let RetryDecision::Retry { scope, prior } = decision else {
            return false;
        };
        let tried = request.tried_servers();
        let Some(index) = self.pick(id, scope, &tried, None) else {
            return false;
        };
        let target = RetryPolicy::judge_target(&self.fleet.servers[index]);
        if target != RetryTarget::Suitable || self.is_too_late(index, id) {
            return false;
        }
        self.policies.retry_policy.on_retry(prior);
        self.send(id, index, actions);
        true
    }
}
