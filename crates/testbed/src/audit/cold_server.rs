//! The rule that sidecars which were notified of a server's start do not overload it while it is
//! cold.
//!
//! Sums the work that each cold server received within a sliding window. An overload is reported
//! once for each start of the server.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::conversion::MICROS_PER_MS;
use crate::event_log::ServerState;
use crate::index::ServerIndex;
use crate::scenario::Micros;
use crate::server_model::cold_work_limit;

/// An overload is a violation if at least this share of the work in the window came from sidecars
/// that were notified of the server's start. With a smaller share, those sidecars could not have
/// prevented it.
const MIN_NOTIFIED_SHARE: f64 = 2.0 / 3.0;

/// Work that a server received, with the server's state at that time.
pub(super) struct ReceivedWork {
    pub(super) at: Micros,
    pub(super) work: f64,
    /// Work that the server can do per microsecond.
    pub(super) capacity: f64,
    pub(super) cold: bool,
}

struct WindowEntry {
    at: Micros,
    work: f64,
    /// Whether the sending sidecar was notified of the server's latest start.
    sender_notified: bool,
}

#[derive(Default)]
struct Server {
    zone: u32,
    started_at: Option<Micros>,
    window: VecDeque<WindowEntry>,
    /// Whether an overload since the latest start was reported.
    reported: bool,
}

impl Server {
    fn reset(&mut self) {
        self.window.clear();
        self.reported = false;
    }

    /// Adds work to the window and removes what is older than the window's length.
    fn add_to_window(
        &mut self,
        received: &ReceivedWork,
        window: Micros,
        notified_start: Option<Micros>,
    ) {
        let at = received.at;
        let started_at = self.started_at.unwrap_or(0);
        self.window.push_back(WindowEntry {
            at,
            work: received.work,
            sender_notified: notified_start.is_some_and(|notified| notified >= started_at),
        });
        while self.window.front().is_some_and(|e| e.at + window <= at) {
            self.window.pop_front();
        }
    }

    fn work_in_window(&self) -> f64 {
        self.window.iter().map(|entry| entry.work).sum()
    }

    /// Work in the window that came from sidecars that were notified of the server's latest start.
    fn work_from_notified_sidecars(&self) -> f64 {
        let notified = self.window.iter().filter(|entry| entry.sender_notified);
        notified.map(|entry| entry.work).sum()
    }
}

/// All servers: their zones, and the work that the cold ones received.
pub(super) struct Servers {
    /// Multiple of its capacity beyond which a cold server is overloaded.
    overload_factor: f64,
    /// Length of the window over which the work is summed.
    window: Micros,
    by_index: FxHashMap<ServerIndex, Server>,
}

impl Servers {
    pub(super) fn new(overload_factor: f64, window: Micros) -> Self {
        Self {
            overload_factor,
            window,
            by_index: FxHashMap::default(),
        }
    }

    /// A server's zone; 0 for an unknown server.
    pub(super) fn zone(&self, server: ServerIndex) -> u32 {
        self.by_index.get(&server).map_or(0, |server| server.zone)
    }

    pub(super) fn on_server_state(
        &mut self,
        at: Micros,
        server: ServerIndex,
        zone: u32,
        state: ServerState,
    ) {
        let server = self.by_index.entry(server).or_default();
        server.zone = zone;
        if state == ServerState::Cold {
            server.started_at = Some(at);
            server.reset();
        }
    }

    /// Describes the violation if the work overloads a cold server. `notified_start` is the latest
    /// start of the server that the sending sidecar was notified of.
    pub(super) fn on_work_received(
        &mut self,
        server: ServerIndex,
        received: ReceivedWork,
        notified_start: Option<Micros>,
    ) -> Option<String> {
        let factor = self.overload_factor;
        let window = self.window;
        let server = self.by_index.entry(server).or_default();
        if !received.cold {
            server.reset();
            return None;
        }
        server.add_to_window(&received, window, notified_start);
        let total = server.work_in_window();
        let notified_work = server.work_from_notified_sidecars();
        let limit = cold_work_limit(factor, received.capacity, window, received.work);
        if total <= limit || notified_work < MIN_NOTIFIED_SHARE * total || server.reported {
            return None;
        }
        server.reported = true;
        Some(format!(
            "{:.0} ms of work in its window, of {:.0} ms",
            total / MICROS_PER_MS,
            limit / MICROS_PER_MS
        ))
    }
}
