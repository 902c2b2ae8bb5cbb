//! One server as the endpoint list names it: its address, its availability and what it has served.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use arrowstand_balancer::{EndpointStatus, Micros, ServerId};
use tokio::time::Instant;

/// Whether a server may get new requests, as the endpoint lists have named it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Availability {
    /// Neither draining nor removed.
    Ready,
    /// Draining since a list first said so.
    Draining { notified_at: Instant },
    /// Removed, or missing from a full list; a drain that was known before keeps its time.
    Removed { notified_at: Instant },
}

impl Availability {
    /// When the drain or the removal was first known, whichever came first.
    fn drain_notified_at(self) -> Option<Instant> {
        match self {
            Self::Ready => None,
            Self::Draining { notified_at } | Self::Removed { notified_at } => Some(notified_at),
        }
    }

    /// What a list entry makes of it. Only a later incarnation, or a removal in between, ends a
    /// drain: an old list that still has the server as ready must not take the drain back while a
    /// connection to it comes up.
    fn after_listing(self, status: EndpointStatus, is_newer_incarnation: bool) -> Self {
        let notified_at = || self.drain_notified_at().unwrap_or_else(Instant::now);
        match (self, status) {
            (Self::Draining { .. }, EndpointStatus::Ready) if !is_newer_incarnation => self,
            (_, EndpointStatus::Ready) => Self::Ready,
            (_, EndpointStatus::Draining) => Self::Draining {
                notified_at: notified_at(),
            },
            (_, EndpointStatus::Removed) => Self::Removed {
                notified_at: notified_at(),
            },
        }
    }
}

/// A server as the endpoint list names it. Shared by the registry and by the attempts that are in
/// flight.
pub(crate) struct Server {
    /// Its number towards the balancer, never used for another server.
    pub id: ServerId,
    address: Cell<SocketAddr>,
    availability: Cell<Availability>,
    /// The latest start that a list has named, in Unix microseconds; `None` where none has.
    incarnation: Cell<Option<Micros>>,
    /// When the latest request that it served was sent, on the balancer's clock.
    last_served_start: Cell<Option<Micros>>,
}

impl Server {
    /// A server that is ready, at this address.
    pub(crate) fn new(id: ServerId, address: SocketAddr) -> Self {
        Self {
            id,
            address: Cell::new(address),
            availability: Cell::new(Availability::Ready),
            incarnation: Cell::new(None),
            last_served_start: Cell::new(None),
        }
    }

    /// Where the latest list has it.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// True where a list has named it as removed, or a full list has left it out.
    pub(super) fn is_removed(&self) -> bool {
        matches!(self.availability.get(), Availability::Removed { .. })
    }

    /// For how long its drain or its removal has been known; `None` while it is ready.
    pub(crate) fn drain_age(&self) -> Option<Duration> {
        let notified_at = self.availability.get().drain_notified_at();
        notified_at.map(|at| at.elapsed())
    }

    /// It has served a request that was sent then (on the balancer's clock), so it accepted work
    /// then.
    pub(crate) fn on_request_served(&self, started: Micros) {
        let latest = self.last_served_start.get().max(Some(started));
        self.last_served_start.set(latest);
    }

    /// When the latest request that it served was sent, on the balancer's clock.
    pub(crate) fn last_served_start(&self) -> Option<Micros> {
        self.last_served_start.get()
    }

    /// A list names it at this address.
    pub(super) fn on_address_listed(&self, address: SocketAddr) {
        self.address.set(address);
    }

    /// A list names it with this status and this start, in Unix microseconds; `None` where the list
    /// has no start.
    pub(crate) fn on_listed(&self, status: EndpointStatus, started_at: Option<Micros>) {
        let known_incarnation = self.incarnation.get();
        let is_newer_incarnation = started_at > known_incarnation;
        self.incarnation.set(started_at.max(known_incarnation));
        let before = self.availability.get();
        self.availability
            .set(before.after_listing(status, is_newer_incarnation));
    }
}

#[cfg(test)]
mod tests;
