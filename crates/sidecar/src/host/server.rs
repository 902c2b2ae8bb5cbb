//! One server as the endpoint list names it: its address, its availability and what it has served.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use arrowstand_balancer::{EndpointStatus, Micros, ServerId};
use tokio::time::Instant;

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

    /// True where a list has named it as removed, or a full list has left it out.
    pub(super) fn is_removed(&self) -> bool {
        self.removed.get()
    }

    /// A list names it at this address.
    pub(super) fn on_address_listed(&self, address: SocketAddr) {
        self.address.set(address);
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

#[cfg(test)]
mod tests;
