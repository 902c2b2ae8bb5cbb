//! The servers that lists have named: numbers for their names, addresses, drains.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use super::server::Server;
use crate::discovery::EndpointList;
use arrowstand_balancer::{Endpoint, EndpointStatus, Micros, ServerId, UpdateKind};
use arrowstand_control::{MachineCatalogue, stable_hash};

/// All of them, by name and by number.
#[derive(Default)]
pub struct ServerRegistry {
    by_name: HashMap<String, Rc<Server>>,
    by_id: BTreeMap<ServerId, Rc<Server>>,
    /// Numbers are never used twice: a new job server must not pass for one that has gone.
    next_id: u32,
    zones: Vec<String>,
    machines: MachineCatalogue,
    has_listed_ready: bool,
}

impl ServerRegistry {
    pub fn new(zones: Vec<String>, machines: MachineCatalogue) -> Self {
        Self {
            zones,
            machines,
            ..Self::default()
        }
    }

    /// True once a list has named a server that is ready.
    pub fn has_listed_ready(&self) -> bool {
        self.has_listed_ready
    }

    pub fn get(&self, id: ServerId) -> Option<Rc<Server>> {
        self.by_id.get(&id).cloned()
    }

    /// Takes in a list; tells what the module is to know of each entry.
    pub(super) fn apply(
        &mut self,
        kind: UpdateKind,
        list: &EndpointList,
        forget: Duration,
    ) -> Vec<Endpoint> {
        // Guards against names and numbers that grow without end where job servers are replaced all the time.
        self.by_name.retain(|_, server| {
            !(server.is_removed() && server.drain_age().is_some_and(|known| known >= forget))
        });
        self.by_id.retain(|_, server| Rc::strong_count(server) > 1);
        if kind != UpdateKind::Incremental {
            let named = |uid: &str| list.endpoints.iter().any(|l| l.uid == uid);
            for (_, server) in self.by_name.iter().filter(|(uid, _)| !named(uid)) {
                server.on_listed(EndpointStatus::Removed, 0.0);
            }
        }
        self.has_listed_ready |= list
            .endpoints
            .iter()
            .any(|l| l.condition == EndpointStatus::Ready);
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for line in &list.endpoints {
            let server = match self.by_name.get(&line.uid) {
                Some(known) => Rc::clone(known),
                None => {
                    let id = ServerId(self.next_id);
                    self.next_id += 1;
                    let new = Rc::new(Server::new(id, line.address));
                    self.by_id.insert(id, Rc::clone(&new));
                    self.by_name.insert(line.uid.clone(), Rc::clone(&new));
                    new
                }
            };
            server.on_address_listed(line.address);
            server.on_listed(line.condition, line.boot_ms);
            let zone = self
                .zones
                .iter()
                .position(|z| *z == line.zone)
                .unwrap_or_else(|| {
                    self.zones.push(line.zone.clone());
                    self.zones.len() - 1
                });
            entries.push(Endpoint {
                server: server.id,
                stable_hash: stable_hash(&line.uid),
                status: line.condition,
                incarnation: (line.boot_ms > 0.0).then_some((line.boot_ms * 1_000.0) as Micros),
                zone: zone as u32,
                cell: line.cell,
                machine_type: self.machines.lookup(&line.model),
            });
        }
        entries
    }
}

#[cfg(test)]
mod tests;
