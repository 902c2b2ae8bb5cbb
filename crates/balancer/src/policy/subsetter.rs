//! Which servers of the fleet this balancer uses, and which of them may be drawn.
//!
//! Each balancer has a random order of its own over all servers, which stays the same while servers
//! come and go, and in which each cell comes once before any comes twice ([`SubsetOrder`]). It uses
//! the first so many servers of it that are ready
//! ([`SubsetSize`](crate::policy::subset_size::SubsetSize)); where these are suspected it goes
//! further down the order. This is random subsetting by a stable hash; that the cells take turns is
//! a stratification.

#[cfg(test)]
mod tests;

use crate::ServerId;
use crate::fleet::Fleet;
use crate::state::{RetryScope, ServerIndex, SubsetOrder};

/// Which servers may be drawn by what is known of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CandidateFilter {
    /// Only those that are neither suspected nor possibly draining.
    TrustedOnly,
    /// Suspected and possibly draining ones as well: the last resort.
    AnyReady,
}

/// Owns the order in which this balancer uses the servers.
#[derive(Default)]
pub(crate) struct Subsetter {
    order: SubsetOrder,
}

impl Subsetter {
    /// The endpoint list changed; indices of the servers are new.
    pub(crate) fn on_endpoints_updated(&mut self, fleet: &Fleet) {
        self.order
            .on_endpoints_updated(&fleet.servers, fleet.settings.identity.index);
    }

    /// The ready servers of the subset.
    pub(crate) fn ready_servers(&self, fleet: &Fleet) -> impl Iterator<Item = ServerIndex> {
        let is_ready = |&index: &ServerIndex| fleet.is_ready(&fleet.servers[index]);
        self.order.iter().filter(is_ready).take(fleet.subset_size())
    }

    /// The servers of the subset that may be drawn for an attempt, apart from those that were
    /// `tried`.
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
