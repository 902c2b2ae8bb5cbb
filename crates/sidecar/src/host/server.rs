//! One server of the endpoint list: its address, its availability, and the send time of the latest
//! request that it served.

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
    /// Listed as draining. `not_ready_since` is when the server stopped being ready, according to
    /// the lists; a removal or drain that follows does not change this time.
    Draining { not_ready_since: Instant },
    /// Listed as removed, or missing from a full list. `not_ready_since` is the same as for a
    /// draining server.
    Removed { not_ready_since: Instant },
}

impl Availability {
    /// When the server stopped being ready, according to the lists; `None` while it is ready.
    fn not_ready_since(self) -> Option<Instant> {
        match self {
            Self::Ready => None,
            Self::Draining { not_ready_since } | Self::Removed { not_ready_since } => {
                Some(not_ready_since)
            }
        }
    }

    /// The availability after a list has given the server this status. A draining server becomes
    /// ready again only with a newer incarnation or after a removal. Otherwise an old list that
    /// still shows the server as ready would end the drain, and an attempt whose connection is
    /// being opened at that time would then be sent to the draining server.
    fn after_list_entry(self, status: EndpointStatus, is_newer_incarnation: bool) -> Self {
        let not_ready_since = || self.not_ready_since().unwrap_or_else(Instant::now);
        match (self, status) {
            (Self::Draining { .. }, EndpointStatus::Ready) if !is_newer_incarnation => self,
            (_, EndpointStatus::Ready) => Self::Ready,
            (_, EndpointStatus::Draining) => Self::Draining {
                not_ready_since: not_ready_since(),
            },
            (_, EndpointStatus::Removed) => Self::Removed {
                not_ready_since: not_ready_since(),
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
    /// Another server was listed as ready at this server's address after this one.
    is_address_taken: Cell<bool>,
    /// The latest start time in any list, in Unix microseconds; `None` if no list had one.
    latest_started_at: Cell<Option<Micros>>,
    /// The latest send time of the requests that the server has served, on the balancer's clock.
    last_served_sent_at: Cell<Option<Micros>>,
}

impl Server {
    /// Creates a ready server at this address.
    pub(crate) fn new(id: ServerId, address: SocketAddr) -> Self {
        Self {
            id,
            address: Cell::new(address),
            availability: Cell::new(Availability::Ready),
            is_address_taken: Cell::new(false),
            latest_started_at: Cell::new(None),
            last_served_sent_at: Cell::new(None),
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

    /// Time since the server stopped being ready, that is, since the first list that showed it as
    /// draining or removed; `None` while it is ready.
    pub(crate) fn time_not_ready(&self) -> Option<Duration> {
        let not_ready_since = self.availability.get().not_ready_since();
        not_ready_since.map(|since| since.elapsed())
    }

    /// Records that the server has served a request whose first byte was written at `sent_at` on
    /// the balancer's clock. The server was not draining at that time.
    pub(crate) fn on_request_served(&self, sent_at: Micros) {
        let latest = self.last_served_sent_at.get().max(Some(sent_at));
        self.last_served_sent_at.set(latest);
    }

    /// The latest send time of the requests that the server has served, on the balancer's clock;
    /// `None` if it has served none.
    pub(crate) fn last_served_sent_at(&self) -> Option<Micros> {
        self.last_served_sent_at.get()
    }

    /// The latest start time in any list, in Unix microseconds; `None` if no list had one.
    pub(crate) fn incarnation(&self) -> Option<Micros> {
        self.latest_started_at.get()
    }

    /// True if the server has gone or is draining and another one has its address: what is sent there
    /// reaches that one.
    pub(crate) fn is_replaced(&self) -> bool {
        let is_ready = self.availability.get().not_ready_since().is_none();
        self.is_address_taken.get() && !is_ready
    }

    /// Records the server's address in a new list.
    pub(super) fn on_address_listed(&self, address: SocketAddr) {
        self.address.set(address);
    }

    /// Records whether another server was listed as ready at this server's address after this one.
    pub(super) fn set_address_taken(&self, is_taken: bool) {
        self.is_address_taken.set(is_taken);
    }

    /// Applies the status and the start time that a new list gives the server. A full list without
    /// the server gives it the status `Removed`. `started_at` is in Unix microseconds; `None` if
    /// the list states no start time.
    pub(crate) fn apply_status(&self, status: EndpointStatus, started_at: Option<Micros>) {
        let known_started_at = self.latest_started_at.get();
        let is_newer_incarnation = started_at > known_started_at;
        self.latest_started_at.set(started_at.max(known_started_at));
        let before = self.availability.get();
        self.availability
            .set(before.after_list_entry(status, is_newer_incarnation));
    }
}

#[cfg(test)]
mod tests;
