//! Attempts in flight between sidecars and servers.
//!
//! Stores a record of each attempt and assigns its job number. The sidecar and the server update
//! the record through its methods; whichever of them learns last that the attempt is over removes
//! it.

use slotmap::{SlotMap, new_key_type};

use crate::index::{RequestNumber, ServerIndex, SidecarIndex};
use crate::scenario::Micros;

new_key_type! {
    /// Key of an attempt, which finds nothing once the attempt is removed.
    pub(super) struct AttemptKey;
}

/// The properties of an attempt, which are fixed when it starts.
pub(super) struct AttemptDetails {
    pub(super) request: RequestNumber,
    /// Index among the request's attempts, from 0.
    pub(super) index: u32,
    pub(super) sidecar: SidecarIndex,
    pub(super) server: ServerIndex,
    pub(super) sent_at: Micros,
    /// When the sidecar stops waiting for its result.
    pub(super) deadline: Micros,
    /// Work in microseconds of a standard core.
    pub(super) work: f64,
    /// One-way network delay to the server, in microseconds.
    pub(super) delay: Micros,
}

/// An attempt of a sidecar to have a server process a request.
pub(super) struct Attempt {
    pub(super) details: AttemptDetails,
    /// Job number in the server model.
    job: u64,
    /// Start number of the server process that the connection belongs to; absent without a
    /// connection.
    connection: Option<u32>,
    /// Whether the attempt opens a new connection.
    new_connection: bool,
    /// Whether the sidecar has written all of it to a connection.
    written: bool,
    /// Whether the sidecar knows how it ended.
    ended: bool,
    /// Whether the server will reset the connection before the response.
    reset_pending: bool,
    /// Number of requests in flight that the response reports.
    reported_in_flight: Option<usize>,
}

impl Attempt {
    /// Returns the job number in the server model.
    pub(super) fn job(&self) -> u64 {
        self.job
    }

    /// Returns the start number of the server process that the connection belongs to, or `None`
    /// without a connection.
    pub(super) fn connection(&self) -> Option<u32> {
        self.connection
    }

    /// Whether it opens a new connection rather than reusing an idle one.
    pub(super) fn opens_connection(&self) -> bool {
        self.new_connection
    }

    /// Whether the sidecar has written all of it to a connection.
    pub(super) fn is_written(&self) -> bool {
        self.written
    }

    /// Whether the sidecar knows how it ended.
    pub(super) fn has_ended(&self) -> bool {
        self.ended
    }

    /// Whether the server will reset the connection before the response.
    pub(super) fn is_reset_pending(&self) -> bool {
        self.reset_pending
    }

    /// Returns the number of requests in flight that the response reports.
    pub(super) fn reported_in_flight(&self) -> Option<usize> {
        self.reported_in_flight
    }

    /// Records that the server process with this start number has accepted the connection.
    pub(super) fn on_connected(&mut self, server_start_number: u32) {
        self.connection = Some(server_start_number);
    }

    /// Records that the sidecar has written all of it.
    pub(super) fn on_written(&mut self) {
        self.written = true;
    }

    /// Records that the server has received all of it, and whether the server will reset the
    /// connection before the response.
    pub(super) fn on_received(&mut self, reset_pending: bool) {
        self.reset_pending = reset_pending;
    }

    /// Records that the server has completed the work, and the number of requests in flight that
    /// the response reports.
    pub(super) fn on_work_done(&mut self, reported_in_flight: Option<usize>) {
        self.reported_in_flight = reported_in_flight;
    }

    /// Takes the connection out of the attempt for the caller to close or to keep for reuse.
    pub(super) fn take_connection(&mut self) -> Option<u32> {
        self.connection.take()
    }

    /// Records that the sidecar knows how it ended.
    pub(super) fn on_ended(&mut self) {
        self.ended = true;
    }
}

/// All attempts that the sidecar or the server still refers to.
pub(super) struct Attempts {
    open: SlotMap<AttemptKey, Attempt>,
    /// The next job number.
    next_job: u64,
}

impl Attempts {
    pub(super) fn new() -> Self {
        Self {
            open: SlotMap::with_key(),
            next_job: 1,
        }
    }

    /// Starts an attempt on `reused_connection`, or without a connection if the sidecar must open
    /// a new one.
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

    /// Returns an attempt, unless it was removed.
    pub(super) fn get(&self, key: AttemptKey) -> Option<&Attempt> {
        self.open.get(key)
    }

    /// Returns a mutable reference to an attempt, unless it was removed.
    pub(super) fn get_mut(&mut self, key: AttemptKey) -> Option<&mut Attempt> {
        self.open.get_mut(key)
    }

    /// Removes an attempt that neither the sidecar nor the server refers to any more.
    pub(super) fn remove(&mut self, key: AttemptKey) {
        self.open.remove(key);
    }

    /// Removes an attempt whose end the sidecar knows; any other stays until its timeout.
    pub(super) fn remove_if_ended(&mut self, key: AttemptKey) {
        if self.get(key).is_some_and(Attempt::has_ended) {
            self.remove(key);
        }
    }
}
