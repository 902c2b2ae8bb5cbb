//! The servers that lists have named: numbers for their names, addresses, drains.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{Endpoint, EndpointStatus, Micros, ServerId, UpdateKind};
use arrowstand_control::{Machines, fingerprint};
use tokio::time::Instant;

use crate::discovery::EndpointList;

/// A job server as the list names it.
pub struct JobServer {
    pub id: ServerId,
    address: Cell<SocketAddr>,
    /// When it was first told to be draining or gone, since its last start.
    told_out: Cell<Option<Instant>>,
    /// Told to be draining, and the start that was named then: only a later start ends a drain.
    drains: Cell<bool>,
    boot_ms: Cell<f64>,
    /// Told to be gone, or left out of a whole list.
    gone: Cell<bool>,
    /// When the last request was begun that it served.
    served: Cell<Option<Micros>>,
}

impl JobServer {
    pub fn new(id: ServerId, address: SocketAddr) -> Self {
        Self {
            id,
            address: Cell::new(address),
            told_out: Cell::new(None),
            drains: Cell::new(false),
            boot_ms: Cell::new(0.0),
            gone: Cell::new(false),
            served: Cell::new(None),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// For how long its drain has been known.
    pub fn drained(&self) -> Option<Duration> {
        self.told_out.get().map(|at| at.elapsed())
    }

    /// It has served a request that was begun then, so it took work then.
    pub fn has_served(&self, begun: Micros) {
        self.served.set(self.served.get().max(Some(begun)));
    }

    pub fn served(&self) -> Option<Micros> {
        self.served.get()
    }

    /// Takes in what a list says of it.
    pub fn told(&self, condition: EndpointStatus, boot_ms: f64) {
        // Guards against an old list that takes a drain back while a connection comes up: a drain ends with a new start,
        // or once the server has gone.
        let newer = boot_ms > self.boot_ms.get();
        self.boot_ms.set(boot_ms.max(self.boot_ms.get()));
        if condition == EndpointStatus::Ready {
            if newer || self.gone.get() || !self.drains.get() {
                self.drains.set(false);
                self.told_out.set(None);
            }
        } else {
            self.drains
                .set(self.drains.get() || condition == EndpointStatus::Draining);
            self.told_out
                .set(self.told_out.get().or(Some(Instant::now())));
        }
        self.gone.set(condition == EndpointStatus::Removed);
    }
}

/// All of them, by name and by number.
#[derive(Default)]
pub struct Directory {
    ids: HashMap<String, Rc<JobServer>>,
    by_id: BTreeMap<ServerId, Rc<JobServer>>,
    /// Numbers are never used twice: a new job server must not pass for one that has gone.
    next: u32,
    zones: Vec<String>,
    machines: Machines,
    listed: bool,
}

impl Directory {
    pub fn new(zones: Vec<String>, machines: Machines) -> Self {
        Self {
            zones,
            machines,
            ..Self::default()
        }
    }

    /// True once a list has named a server that is ready.
    pub fn listed(&self) -> bool {
        self.listed
    }

    pub fn server(&self, id: ServerId) -> Option<Rc<JobServer>> {
        self.by_id.get(&id).cloned()
    }

    /// Takes in a list; tells what the module is to know of each entry.
    pub(super) fn take(
        &mut self,
        kind: UpdateKind,
        list: &EndpointList,
        forget: Duration,
    ) -> Vec<Endpoint> {
        // Guards against names and numbers that grow without end where job servers are replaced all the time.
        self.ids.retain(|_, server| {
            !(server.gone.get() && server.drained().is_some_and(|known| known >= forget))
        });
        self.by_id.retain(|_, server| Rc::strong_count(server) > 1);
        if kind != UpdateKind::Incremental {
            let named = |uid: &str| list.endpoints.iter().any(|l| l.uid == uid);
            for (_, server) in self.ids.iter().filter(|(uid, _)| !named(uid)) {
                server.told(EndpointStatus::Removed, 0.0);
            }
        }
        self.listed |= list
            .endpoints
            .iter()
            .any(|l| l.condition == EndpointStatus::Ready);
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for line in &list.endpoints {
            let server = match self.ids.get(&line.uid) {
                Some(known) => Rc::clone(known),
                None => {
                    let id = ServerId(self.next);
                    self.next += 1;
                    let new = Rc::new(JobServer::new(id, line.address));
                    self.by_id.insert(id, Rc::clone(&new));
                    self.ids.insert(line.uid.clone(), Rc::clone(&new));
                    new
                }
            };
            server.address.set(line.address);
            server.told(line.condition, line.boot_ms);
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
                stable_hash: fingerprint(&line.uid),
                status: line.condition,
                incarnation: (line.boot_ms > 0.0).then_some((line.boot_ms * 1_000.0) as Micros),
                zone: zone as u32,
                cell: line.cell,
                machine_type: self.machines.of(&line.model),
            });
        }
        entries
    }
}

#[cfg(test)]
mod tests;
