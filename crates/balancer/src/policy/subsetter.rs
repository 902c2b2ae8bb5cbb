//! Selects the subset of the fleet that this balancer uses, and the candidates for an attempt.
//!
//! Each balancer has its own random order of all servers. The order is stable when servers are
//! added or removed, and takes one server from each cell before a second one from any
//! ([`SubsetOrder`]). The subset is the first ready servers in this order; their number is computed
//! by [`SubsetSize`](crate::policy::subset_size::SubsetSize). Suspected servers are replaced by the
//! next ones in the order. This is random subsetting by a stable hash, stratified by cell.

#[cfg(test)]
mod tests;

use crate::ServerId;
use crate::fleet::Fleet;
use crate::state::{RetryScope, ServerIndex, SubsetOrder};

/// Which ready servers are candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CandidateFilter {
    /// Servers that are neither suspected nor possibly draining.
    TrustedOnly,
    /// All ready servers, including suspected and possibly draining ones: the last resort.
    AnyReady,
}

/// Selects servers in this balancer's subset order.
#[derive(Default)]
pub(crate) struct Subsetter {
    order: SubsetOrder,
    /// The table's revision for which the order has been computed.
    order_revision: u64,
}

impl Subsetter {
    /// Recomputes the order after a change of the endpoint list, if it may have changed. A status
    /// alone does not change it, and most changes of a large fleet are of the status of one server.
    pub(crate) fn on_endpoints_updated(&mut self, fleet: &Fleet) {
        let order_revision = fleet.servers.order_revision();
        if order_revision == self.order_revision {
            return;
        }
        self.order_revision = order_revision;
        self.order
            .on_endpoints_updated(&fleet.servers, fleet.settings.identity.index);
    }

    /// Returns the ready servers of the subset.
    pub(crate) fn ready_servers(&self, fleet: &Fleet) -> impl Iterator<Item = ServerIndex> {
        let is_ready = |&index: &ServerIndex| fleet.is_ready(&fleet.servers[index]);
        self.order.iter().filter(is_ready).take(fleet.subset_size())
    }

    /// Returns the candidates for an attempt, without the servers that were already `tried`.
    pub(crate) fn candidates(
        &self,
        fleet: &Fleet,
        scope: RetryScope,
        tried: &[ServerId],
        filter: CandidateFilter,
    ) -> Vec<ServerIndex> {
        let is_candidate = |&index: &ServerIndex| {
            let server = &fleet.servers[index];
            let is_usable = scope.contains(server.endpoint()) && fleet.is_ready(server);
            let is_allowed = filter == CandidateFilter::AnyReady || !server.is_untrusted();
            is_usable && is_allowed && !tried.contains(&server.id())
        };
        self.order
            .iter()
            .filter(is_candidate)
            .take(fleet.subset_size())
            .collect()
    }
}
