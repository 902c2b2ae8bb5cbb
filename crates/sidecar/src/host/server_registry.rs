//! The servers of the endpoint lists, by name and by the id that the balancer uses for them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{Endpoint, EndpointStatus, ServerId, UpdateKind};
use arrowstand_control::{MachineCatalogue, stable_hash};
use arrowstand_platform::EndpointList;

use super::server::Server;

/// All known servers, by their names in the endpoint lists and by id. Servers that were removed are
/// discarded after a retention time.
#[derive(Default)]
pub(crate) struct ServerRegistry {
    by_name: HashMap<String, Rc<Server>>,
    by_id: BTreeMap<ServerId, Rc<Server>>,
    /// The server that was listed last as ready at each address.
    by_address: HashMap<SocketAddr, ServerId>,
    /// Ids are never reused, so that a new server is not taken for one that was removed.
    next_id: u32,
    /// Indices of the zones: the configured ones, then others in the order in which lists name them.
    zones: HashMap<String, u32>,
    next_zone: u32,
    machine_types: MachineCatalogue,
    has_seen_ready_server: bool,
}

impl ServerRegistry {
    /// Creates a registry without servers, with the configured zones and machine types.
    pub(crate) fn new(zones: Vec<String>, machine_types: MachineCatalogue) -> Self {
        let mut registry = Self {
            machine_types,
            ..Self::default()
        };
        for (index, zone) in (0..).zip(zones) {
            // The first of several equal names counts.
            registry.zones.entry(zone).or_insert(index);
            registry.next_zone = index + 1;
        }
        registry
    }

    /// True once a list has contained a ready server.
    pub(super) fn has_seen_ready_server(&self) -> bool {
        self.has_seen_ready_server
    }

    /// The server with this id; `None` once it has been discarded.
    pub(super) fn get(&self, id: ServerId) -> Option<Rc<Server>> {
        self.by_id.get(&id).cloned()
    }

    /// Applies a list and returns its entries in the balancer's form. Before that, discards each
    /// removed server whose [`time_not_ready`](Server::time_not_ready) is `retention` or more.
    pub(super) fn apply_update(
        &mut self,
        kind: UpdateKind,
        list: &EndpointList,
        retention: Duration,
    ) -> Vec<Endpoint> {
        self.discard_removed(retention);
        if kind != UpdateKind::Incremental {
            self.mark_unlisted_removed(list);
        }
        let mut endpoints = Vec::with_capacity(list.endpoints.len());
        for entry in &list.endpoints {
            self.has_seen_ready_server |= entry.status == EndpointStatus::Ready;
            let server = self.find_or_add(&entry.id, entry.address);
            server.on_address_listed(entry.address);
            if entry.status == EndpointStatus::Ready {
                self.take_address(&server);
            }
            server.apply_status(entry.status, entry.started_at);
            endpoints.push(Endpoint {
                server: server.id,
                stable_hash: stable_hash(&entry.id),
                status: entry.status,
                incarnation: entry.started_at,
                zone: self.zone_index(&entry.zone),
                cell: entry.cell,
                machine_type: self.machine_types.lookup(&entry.machine_type),
            });
        }
        endpoints
    }

    /// Discards each removed server whose [`time_not_ready`](Server::time_not_ready) is `retention`
    /// or more. Without this, the registry would grow without bound in a deployment that keeps
    /// replacing servers.
    fn discard_removed(&mut self, retention: Duration) {
        self.by_name.retain(|_, server| {
            let is_expired = server.time_not_ready().is_some_and(|age| age >= retention);
            !(server.is_removed() && is_expired)
        });
        // A server that is still referenced, by an attempt for example, keeps its entry.
        self.by_id.retain(|_, server| Rc::strong_count(server) > 1);
        self.by_address.retain(|_, id| self.by_id.contains_key(id));
    }

    /// Records that a server that is ready has its address, and that the one before does not.
    fn take_address(&mut self, server: &Server) {
        server.set_address_taken(false);
        let previous = self.by_address.insert(server.address(), server.id);
        let previous = previous.filter(|&id| id != server.id);
        if let Some(previous) = previous.and_then(|id| self.by_id.get(&id)) {
            previous.set_address_taken(previous.address() == server.address());
        }
    }

    /// Marks the servers that are missing from a full list as removed.
    fn mark_unlisted_removed(&self, list: &EndpointList) {
        let listed: HashSet<&str> = list.endpoints.iter().map(|entry| &*entry.id).collect();
        for (name, server) in &self.by_name {
            if !listed.contains(name.as_str()) {
                server.apply_status(EndpointStatus::Removed, None);
            }
        }
    }

    /// The server with this name; a new server gets the next id.
    fn find_or_add(&mut self, name: &str, address: SocketAddr) -> Rc<Server> {
        if let Some(known) = self.by_name.get(name) {
            return Rc::clone(known);
        }
        let id = ServerId(self.next_id);
        self.next_id += 1;
        let server = Rc::new(Server::new(id, address));
        self.by_id.insert(id, Rc::clone(&server));
        self.by_name.insert(name.to_owned(), Rc::clone(&server));
        server
    }

    /// The index of a zone; a new zone gets the next one.
    fn zone_index(&mut self, name: &str) -> u32 {
        if let Some(&known) = self.zones.get(name) {
            return known;
        }
        let index = self.next_zone;
        self.next_zone += 1;
        self.zones.insert(name.to_owned(), index);
        index
    }
}

#[cfg(test)]
mod tests;
