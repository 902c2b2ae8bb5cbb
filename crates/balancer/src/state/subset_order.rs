//! The order in which this balancer uses the servers. How many of them it uses is decided by
//! [`SubsetSize`](crate::policy::subset_size::SubsetSize).

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::state::{EndpointTable, ServerIndex, ServerState};

/// Indices of the servers in a stable random order.
#[derive(Default)]
pub(crate) struct SubsetOrder {
    order: Vec<ServerIndex>,
}

impl SubsetOrder {
    /// Indices of the servers, the preferred ones first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ServerIndex> + '_ {
        self.order.iter().copied()
    }

    /// The servers changed. Their order is random, the same at every list, and each cell comes once
    /// before any comes twice.
    pub(crate) fn on_endpoints_updated(&mut self, endpoints: &EndpointTable, balancer_index: u32) {
        let own = u64::from(balancer_index) << 32;
        let hash = |server: &ServerState| {
            fastrand::Rng::with_seed(server.endpoint().stable_hash ^ own).u64(..)
        };
        let mut hashed: Vec<_> = endpoints
            .iter()
            .map(hash)
            .zip(endpoints.indices())
            .collect();
        hashed.sort_unstable();
        self.order = hashed.into_iter().map(|(_, index)| index).collect();
        let mut turns = BTreeMap::new();
        self.order.sort_by_cached_key(|&index| {
            let turn = turns.entry(endpoints[index].endpoint().cell).or_insert(0);
            *turn += 1;
            *turn
        });
    }
}
