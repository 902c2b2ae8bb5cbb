//! The servers that endpoint lists have named: their numbers towards the balancer, by name and
//! back.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{Endpoint, EndpointStatus, ServerId, UpdateKind};
use arrowstand_control::{MachineCatalogue, stable_hash};
use arrowstand_platform::EndpointList;

use super::server::Server;

/// Every server that is not forgotten, by the name that lists have for it and by its number.
#[derive(Default)]
pub(crate) struct ServerRegistry {
    by_name: HashMap<String, Rc<Server>>,
    by_id: BTreeMap<ServerId, Rc<Server>>,
    /// Numbers are never used twice: a new server must not pass for one that has been removed.
    next_id: u32,
    /// Zones by their numbers: those of the configuration, then others in the order of the lists.
    zones: Vec<String>,
    machines: MachineCatalogue,
    has_listed_ready: bool,
}

impl ServerRegistry {
    /// A registry without servers, with the zones and the machine types of the configuration.
    pub(crate) fn new(zones: Vec<String>, machines: MachineCatalogue) -> Self {
        Self {
            zones,
            machines,
            ..Self::default()
        }
    }

    /// True once a list has named a server that is ready.
    pub(super) fn has_listed_ready(&self) -> bool {
        self.has_listed_ready
    }

    /// The server of that number; `None` once it is forgotten.
    pub(super) fn get(&self, id: ServerId) -> Option<Rc<Server>> {
        self.by_id.get(&id).cloned()
    }

    /// Applies a list and returns its entries as the balancer gets them. A server is forgotten once
    /// its removal, or the drain before it, has been known for the retention time.
    pub(super) fn apply(
        &mut self,
        kind: UpdateKind,
        list: &EndpointList,
        retention: Duration,
    ) -> Vec<Endpoint> {
        self.forget_removed(retention);
        if kind != UpdateKind::Incremental {
            self.on_full_list(list);
        }
        let mut endpoints = Vec::with_capacity(list.endpoints.len());
        for entry in &list.endpoints {
            self.has_listed_ready |= entry.status == EndpointStatus::Ready;
            let server = self.find_or_add(&entry.id, entry.address);
            server.on_address_listed(entry.address);
            server.on_listed(entry.status, entry.started_at);
            endpoints.push(Endpoint {
                server: server.id,
                stable_hash: stable_hash(&entry.id),
                status: entry.status,
                incarnation: entry.started_at,
                zone: self.zone(&entry.zone),
                cell: entry.cell,
                machine_type: self.machines.lookup(&entry.machine_type),
            });
        }
        endpoints
    }

    /// Forgets the servers that have been gone for long enough. Where servers are replaced all the
    /// time, the registry would otherwise grow for as long as the process runs.
    fn forget_removed(&mut self, retention: Duration) {
        self.by_name.retain(|_, server| {
            let is_over = server.drain_age().is_some_and(|age| age >= retention);
            !(server.is_removed() && is_over)
        });
        // Whatever still has the server, an attempt for instance, keeps its number.
        self.by_id.retain(|_, server| Rc::strong_count(server) > 1);
    }

    /// What a full list leaves out has been removed.
    fn on_full_list(&self, list: &EndpointList) {
        let is_named = |name: &str| list.endpoints.iter().any(|entry| entry.id == name);
        for (_, server) in self.by_name.iter().filter(|(name, _)| !is_named(name)) {
            server.on_listed(EndpointStatus::Removed, None);
        }
    }

    /// The server of that name; one that is new gets the next number.
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

    /// The number of a zone; a zone that is new gets the next one.
    fn zone(&mut self, name: &str) -> u32 {
        let known = self.zones.iter().position(|zone| zone == name);
        let index = known.unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.zones.len() - 1
        });
        u32::try_from(index).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
