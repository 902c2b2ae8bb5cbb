//! Order in which this balancer uses the servers. How many of them it uses is decided by
//! [`SubsetSize`](crate::policy::subset_size::SubsetSize).

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::state::{EndpointTable, ServerIndex, ServerState};

/// The servers in a stable random order.
#[derive(Default)]
pub(crate) struct SubsetOrder {
    order: Vec<ServerIndex>,
}

impl SubsetOrder {
    /// Returns the indices of the servers, preferred ones first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ServerIndex> + '_ {
        self.order.iter().copied()
    }

    /// Recomputes the order after the servers changed. It is random per balancer and stable across
    /// lists, and interleaves the cells: each cell occurs once before any occurs twice.
    pub(crate) fn on_endpoints_updated(&mut self, endpoints: &EndpointTable, balancer_index: u32) {
        let balancer_seed = u64::from(balancer_index) << 32;
        let hash = |server: &ServerState| {
            fastrand::Rng::with_seed(server.endpoint().stable_hash ^ balancer_seed).u64(..)
        };
        let mut hashed: Vec<_> = endpoints
            .iter()
            .map(hash)
            .zip(endpoints.indices())
            .collect();
        hashed.sort_unstable();
        self.order = hashed.into_iter().map(|(_, index)| index).collect();
        let mut servers_by_cell = BTreeMap::new();
        self.order.sort_by_cached_key(|&index| {
            let rank = servers_by_cell
                .entry(endpoints[index].endpoint().cell)
                .or_insert(0);
            *rank += 1;
            *rank
        });
    }
}
