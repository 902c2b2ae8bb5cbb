//! The subset of the fleet that this balancer uses, and which of its servers are candidates.

use crate::ServerId;
use crate::policy::Balancer;
use crate::state::{RetryScope, ServerIndex};

impl Balancer {
    /// The servers of the subset that may be drawn now; `trusted` leaves out those that are suspected or
    /// possibly draining.
    pub(super) fn candidates(
        &mut self,
        scope: RetryScope,
        tried: &[ServerId],
        trusted: bool,
    ) -> Vec<ServerIndex> {
        let fits = |&index: &ServerIndex| {
            let server = &self.fleet.servers[index];
            let doubtful = server.suspicion.is_suspected() || server.is_possibly_draining();
            let usable = scope.contains(server.endpoint()) && self.fleet.is_ready(server);
            usable && !tried.contains(&server.id()) && !(trusted && doubtful)
        };
        let subset: Vec<ServerIndex> = self
            .subset_order
            .iter()
            .filter(fits)
            .take(self.fleet.subset_size())
            .collect();
        subset
            .into_iter()
            .filter(|&server_index| self.admit_to_draw(server_index))
            .collect()
    }
}
