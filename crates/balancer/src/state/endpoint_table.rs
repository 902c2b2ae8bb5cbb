//! The servers by index and id, merged from endpoint lists.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

use crate::state::health_check_record::HealthCheckKind;
use crate::state::server_index::ServerIndex;
use crate::state::server_state::ServerState;
use crate::{Endpoint, Micros, Outcome, ServerId};

/// Result of merging one entry of an endpoint list.
pub(crate) struct MergeResult {
    /// Index of the server.
    pub(crate) server_index: ServerIndex,
    /// True if the server was already known and the entry shows that it has restarted.
    pub(crate) restarted: bool,
}

/// The known servers. An index is valid until [`EndpointTable::retain`] is called.
#[derive(Default)]
pub(crate) struct EndpointTable {
    servers: Vec<ServerState>,
    index_by_id: BTreeMap<ServerId, ServerIndex>,
    version: u64,
    order_revision: u64,
    servers_with_failed_check: usize,
}

impl EndpointTable {
    /// Returns the index of a server.
    pub(crate) fn find(&self, id: ServerId) -> Option<ServerIndex> {
        self.index_by_id.get(&id).copied()
    }

    /// Returns the index of the server with this stable hash, by which other balancers identify it.
    pub(crate) fn find_by_hash(&self, stable_hash: u64) -> Option<ServerIndex> {
        let has_hash = |server: &ServerState| server.endpoint().stable_hash == stable_hash;
        self.servers.iter().position(has_hash).map(ServerIndex)
    }

    /// Returns the indices of all servers, in order.
    pub(crate) fn indices(&self) -> impl Iterator<Item = ServerIndex> + use<> {
        (0..self.servers.len()).map(ServerIndex)
    }

    /// Returns the number of servers.
    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns the servers in the order of their indices.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, ServerState> {
        self.servers.iter()
    }

    /// Returns a number that changes whenever the subset order may change: a server was added,
    /// removed or moved to another cell, or has another stable hash.
    pub(crate) fn order_revision(&self) -> u64 {
        self.order_revision
    }

    /// Returns the number of servers whose last health check failed.
    pub(crate) fn servers_with_failed_check(&self) -> usize {
        self.servers_with_failed_check
    }

    /// Records the version of an endpoint list; returns false if a newer one has been received.
    pub(crate) fn accept_version(&mut self, version: u64) -> bool {
        let is_current = version >= self.version;
        self.version = self.version.max(version);
        is_current
    }

    /// Clears all possible drains, as a current endpoint list was received: it shows which servers
    /// drain.
    pub(crate) fn clear_possible_drains(&mut self) {
        self.servers
            .iter_mut()
            .for_each(ServerState::on_endpoint_list_received);
    }

    /// Marks the servers that are missing from a full endpoint list as removed.
    pub(crate) fn mark_unlisted_as_removed(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        let unlisted = |server: &&mut ServerState| !listed.contains(&server.id());
        self.servers
            .iter_mut()
            .filter(unlisted)
            .for_each(ServerState::on_unlisted);
    }

    /// Adds or updates the server of a list entry. The entry's status is applied separately, by
    /// [`ServerState::on_status_listed`].
    pub(crate) fn merge(
        &mut self,
        endpoint: Endpoint,
        now: Micros,
        slow_start_duration: Micros,
    ) -> MergeResult {
        if let Some(server_index) = self.find(endpoint.server) {
            let server = &mut self.servers[server_index.0];
            let order_key = |endpoint: &Endpoint| (endpoint.cell, endpoint.stable_hash);
            if order_key(server.endpoint()) != order_key(&endpoint) {
                self.order_revision += 1;
            }
            let restarted = server.on_listed(endpoint);
            return MergeResult {
                server_index,
                restarted,
            };
        }
        self.order_revision += 1;
        let server_index = ServerIndex(self.servers.len());
        self.index_by_id.insert(endpoint.server, server_index);
        self.servers
            .push(ServerState::new(endpoint, now, slow_start_duration));
        MergeResult {
            server_index,
            restarted: false,
        }
    }

    /// Removes the servers for which `keep` returns false; if there are any, the others get new
    /// indices.
    pub(crate) fn retain(&mut self, keep: impl Fn(&ServerState) -> bool) {
        let previous_count = self.servers.len();
        self.servers.retain(keep);
        let failed = |server: &&ServerState| server.health_check.last_failed();
        self.servers_with_failed_check = self.servers.iter().filter(failed).count();
        if self.servers.len() < previous_count {
            self.on_removed();
        }
    }

    /// Numbers the remaining servers anew.
    fn on_removed(&mut self) {
        self.order_revision += 1;
        self.index_by_id = self
            .servers
            .iter()
            .zip((0..).map(ServerIndex))
            .map(|(server, index)| (server.id(), index))
            .collect();
    }

    /// Records the result of a server's health check; returns the kind of the check.
    pub(crate) fn on_health_check_ended(
        &mut self,
        server_index: ServerIndex,
        outcome: Outcome,
    ) -> HealthCheckKind {
        let health_check = &mut self.servers[server_index.0].health_check;
        self.servers_with_failed_check -= usize::from(health_check.last_failed());
        let kind = health_check.on_ended(outcome);
        self.servers_with_failed_check += usize::from(health_check.last_failed());
        kind
    }
}

impl Index<ServerIndex> for EndpointTable {
    type Output = ServerState;

    fn index(&self, server_index: ServerIndex) -> &ServerState {
        &self.servers[server_index.0]
    }
}

impl IndexMut<ServerIndex> for EndpointTable {
    fn index_mut(&mut self, server_index: ServerIndex) -> &mut ServerState {
        &mut self.servers[server_index.0]
    }
}
