//! One server of the endpoint list: its address, its availability and its latest served request.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use arrowstand_balancer::{EndpointStatus, Micros, ServerId};
use tokio::time::Instant;

/// Whether a server may get new requests, according to the endpoint lists received so far.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Availability {
    /// Neither draining nor removed.
    Ready,
    /// Draining, first listed as such at `notified_at`.
    Draining { notified_at: Instant },
    /// Listed as removed, or missing from a full list. If the server was already draining,
    /// `notified_at` is the time of the drain.
    Removed { notified_at: Instant },
}

impl Availability {
    /// When the drain or the removal became known, whichever was first.
    fn drain_notified_at(self) -> Option<Instant> {
        match self {
            Self::Ready => None,
            Self::Draining { notified_at } | Self::Removed { notified_at } => Some(notified_at),
        }
    }

    /// The availability after a list entry with this status. Only a newer incarnation, or a removal
    /// in between, ends a drain: an old list that still contains the server as ready must not
    /// revert the drain while a connection to the server is being opened.
    fn after_list_entry(self, status: EndpointStatus, is_newer_incarnation: bool) -> Self {
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

/// A server of the endpoint list, shared by the registry and the attempts in flight.
pub(crate) struct Server {
    /// The id that the balancer uses for the server; never reused.
    pub id: ServerId,
    address: Cell<SocketAddr>,
    availability: Cell<Availability>,
    /// The latest start time in any list, in Unix microseconds; `None` if no list had one.
    incarnation: Cell<Option<Micros>>,
    /// When the latest request that the server served was sent, on the balancer's clock.
    last_served_start: Cell<Option<Micros>>,
}

impl Server {
    /// Creates a ready server at this address.
    pub(crate) fn new(id: ServerId, address: SocketAddr) -> Self {
        Self {
            id,
            address: Cell::new(address),
            availability: Cell::new(Availability::Ready),
            incarnation: Cell::new(None),
            last_served_start: Cell::new(None),
        }
    }

    /// The server's address in the latest list.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// True if the server was listed as removed or was missing from a full list.
    pub(super) fn is_removed(&self) -> bool {
        matches!(self.availability.get(), Availability::Removed { .. })
    }

    /// How long the server's drain or removal has been known; `None` while it is ready.
    pub(crate) fn drain_age(&self) -> Option<Duration> {
        let notified_at = self.availability.get().drain_notified_at();
        notified_at.map(|at| at.elapsed())
    }

    /// Records that the server served a request sent at `started` (on the balancer's clock), so it
    /// accepted requests at that time.
    pub(crate) fn on_request_served(&self, started: Micros) {
        let latest = self.last_served_start.get().max(Some(started));
        self.last_served_start.set(latest);
    }

    /// When the latest request that the server served was sent, on the balancer's clock.
    pub(crate) fn last_served_start(&self) -> Option<Micros> {
        self.last_served_start.get()
    }

    /// Records the server's address in a new list.
    pub(super) fn on_address_listed(&self, address: SocketAddr) {
        self.address.set(address);
    }

    /// Records the server's status and start time in a new list. `started_at` is in Unix
    /// microseconds, `None` if the list states no start time.
    pub(crate) fn on_listed(&self, status: EndpointStatus, started_at: Option<Micros>) {
        let known_incarnation = self.incarnation.get();
        let is_newer_incarnation = started_at > known_incarnation;
        self.incarnation.set(started_at.max(known_incarnation));
        let before = self.availability.get();
        self.availability
            .set(before.after_list_entry(status, is_newer_incarnation));
    }
}

#[cfg(test)]
mod tests;
