//! Which servers may be drawn for an attempt.

use crate::ServerId;
use crate::policy::Balancer;
use crate::policy::subsetter::CandidateFilter;
use crate::state::{RetryScope, ServerIndex};

impl Balancer {
    /// The servers of the subset that are admitted to a draw now.
    pub(super) fn candidates(
        &mut self,
        scope: RetryScope,
        tried: &[ServerId],
        filter: CandidateFilter,
    ) -> Vec<ServerIndex> {
        let mut candidates = self.subsetter.candidates(&self.fleet, scope, tried, filter);
        candidates.retain(|&index| self.admit_to_draw(index));
        candidates
    }
}
