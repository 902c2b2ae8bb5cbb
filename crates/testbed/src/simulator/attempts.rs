//! Attempts under way between sidecars and servers.
//!
//! Owns the attempts' records and their numbers. A sidecar opens, writes and ends an attempt, the
//! server that it reaches notes what becomes of it; each says so by a method, and a record is
//! removed by whoever learns last that the attempt is over.

use slotmap::{SlotMap, new_key_type};

use crate::index::{RequestNumber, ServerIndex, SidecarIndex};
use crate::scenario::Micros;

new_key_type! {
    /// Names an attempt; one that is removed is no longer found.
    pub(super) struct AttemptKey;
}

/// What an attempt is from its start on.
pub(super) struct AttemptDetails {
    pub(super) request: RequestNumber,
    /// Counts the request's attempts from 0.
    pub(super) index: u32,
    pub(super) sidecar: SidecarIndex,
    pub(super) server: ServerIndex,
    pub(super) sent_at: Micros,
    /// When its sidecar gives up.
    pub(super) deadline: Micros,
    /// Work in microseconds of a standard core.
    pub(super) work: f64,
    /// One way to the server, in microseconds.
    pub(super) delay: Micros,
}

/// One attempt of a sidecar at a server.
pub(super) struct Attempt {
    pub(super) details: AttemptDetails,
    /// Its number at the server's model.
    job: u64,
    /// Its connection, by the server's start that this belongs to.
    connection: Option<u32>,
    /// Whether it opens a connection of its own.
    new_connection: bool,
    /// Its last byte is written.
    written: bool,
    /// Its sidecar knows how it ended.
    ended: bool,
    /// Its connection will be reset before the response.
    reset_pending: bool,
    /// Requests in flight that its response reports.
    reported_in_flight: Option<usize>,
}

impl Attempt {
    /// Its number at the server's model.
    pub(super) fn job(&self) -> u64 {
        self.job
    }

    /// The server's start that its connection belongs to; absent while it has none.
    pub(super) fn connection(&self) -> Option<u32> {
        self.connection
    }

    /// Whether it opens a connection of its own.
    pub(super) fn opens_connection(&self) -> bool {
        self.new_connection
    }

    /// Whether its last byte is written.
    pub(super) fn is_written(&self) -> bool {
        self.written
    }

    /// Whether its sidecar knows how it ended.
    pub(super) fn has_ended(&self) -> bool {
        self.ended
    }

    /// Whether its connection will be reset before the response.
    pub(super) fn is_reset_pending(&self) -> bool {
        self.reset_pending
    }

    /// Requests in flight that its response reports.
    pub(super) fn reported_in_flight(&self) -> Option<usize> {
        self.reported_in_flight
    }

    /// The server has accepted its connection, in the start of this number.
    pub(super) fn on_connected(&mut self, server_start: u32) {
        self.connection = Some(server_start);
    }

    /// Its last byte is written.
    pub(super) fn on_written(&mut self) {
        self.written = true;
    }

    /// The server has all of it, and may reset its connection before the response.
    pub(super) fn on_received(&mut self, reset_pending: bool) {
        self.reset_pending = reset_pending;
    }

    /// The server has done its work; the response reports so many requests in flight.
    pub(super) fn on_work_done(&mut self, reported_in_flight: Option<usize>) {
        self.reported_in_flight = reported_in_flight;
    }

    /// It no longer has its connection, which is given back to be closed or kept.
    pub(super) fn take_connection(&mut self) -> Option<u32> {
        self.connection.take()
    }

    /// Its sidecar knows how it ended.
    pub(super) fn on_ended(&mut self) {
        self.ended = true;
    }
}

/// All attempts that either end still knows of.
pub(super) struct Attempts {
    open: SlotMap<AttemptKey, Attempt>,
    /// The next number of an attempt at a server's model.
    next_job: u64,
}

impl Attempts {
    /// Nothing is under way yet.
    pub(super) fn new() -> Self {
        Self {
            open: SlotMap::with_key(),
            next_job: 1,
        }
    }

    /// An attempt starts, on a connection that its sidecar has kept or on a new one.
    pub(super) fn start(
        &mut self,
        details: AttemptDetails,
        reused_connection: Option<u32>,
    ) -> AttemptKey {
        let job = self.next_job;
        self.next_job += 1;
        self.open.insert(Attempt {
            details,
            job,
            connection: reused_connection,
            new_connection: reused_connection.is_none(),
            written: reused_connection.is_some(),
            ended: false,
            reset_pending: false,
            reported_in_flight: None,
        })
    }

    /// An attempt that is not removed.
    pub(super) fn get(&self, key: AttemptKey) -> Option<&Attempt> {
        self.open.get(key)
    }

    /// An attempt that is not removed, to be told what happened.
    pub(super) fn get_mut(&mut self, key: AttemptKey) -> Option<&mut Attempt> {
        self.open.get_mut(key)
    }

    /// Forgets an attempt that nothing more will happen to.
    pub(super) fn remove(&mut self, key: AttemptKey) {
        self.open.remove(key);
    }

    /// Forgets an attempt whose sidecar knows its end; one that has not ended waits for its timeout.
    pub(super) fn remove_if_ended(&mut self, key: AttemptKey) {
        if self.get(key).is_some_and(Attempt::has_ended) {
            self.remove(key);
        }
    }
}
