//! The servers that lists have named: numbers for their names, addresses, drains.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{Endpoint, EndpointStatus, Micros, ServerId, UpdateKind};
use arrowstand_control::{MachineCatalogue, stable_hash};
use tokio::time::Instant;

use crate::discovery::EndpointList;

/// A job server as the list names it.
pub struct Server {
    pub id: ServerId,
    address: Cell<SocketAddr>,
    /// When it was first told to be draining or gone, since its last start.
    drain_notified_at: Cell<Option<Instant>>,
    /// Told to be draining, and the start that was named then: only a later start ends a drain.
    draining: Cell<bool>,
    incarnation_ms: Cell<f64>,
    /// Told to be gone, or left out of a whole list.
    removed: Cell<bool>,
    /// When the last request was begun that it served.
    last_served_start: Cell<Option<Micros>>,
}

impl Server {
    pub fn new(id: ServerId, address: SocketAddr) -> Self {
        Self {
            id,
            address: Cell::new(address),
            drain_notified_at: Cell::new(None),
            draining: Cell::new(false),
            incarnation_ms: Cell::new(0.0),
            removed: Cell::new(false),
            last_served_start: Cell::new(None),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// For how long its drain has been known.
    pub fn drain_age(&self) -> Option<Duration> {
        self.drain_notified_at.get().map(|at| at.elapsed())
    }

    /// It has served a request that was begun then, so it took work then.
    pub fn on_request_served(&self, begun: Micros) {
        self.last_served_start
            .set(self.last_served_start.get().max(Some(begun)));
    }

    pub fn last_served_start(&self) -> Option<Micros> {
        self.last_served_start.get()
    }

    /// Takes in what a list says of it.
    pub fn on_listed(&self, condition: EndpointStatus, boot_ms: f64) {
        // Guards against an old list that takes a drain back while a connection comes up: a drain ends with a new start,
        // or once the server has gone.
        let newer = boot_ms > self.incarnation_ms.get();
        self.incarnation_ms
            .set(boot_ms.max(self.incarnation_ms.get()));
        if condition == EndpointStatus::Ready {
            if newer || self.removed.get() || !self.draining.get() {
                self.draining.set(false);
                self.drain_notified_at.set(None);
            }
        } else {
            self.draining
                .set(self.draining.get() || condition == EndpointStatus::Draining);
            self.drain_notified_at
                .set(self.drain_notified_at.get().or(Some(Instant::now())));
        }
        self.removed.set(condition == EndpointStatus::Removed);
    }
}

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
            !(server.removed.get() && server.drain_age().is_some_and(|known| known >= forget))
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
            server.address.set(line.address);
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
