//! What happened in a run: the ends of all complete requests, the executions at the servers and
//! the lives of the sidecar's process.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use super::request::RequestClass;
use crate::emulator::lock;

/// The id of a request, unique within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct RequestId(pub(super) u64);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sender {
    /// A usual client.
    Usual,
    /// A client of the crowd.
    Crowd,
}

/// What a connection carried before a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// Nothing: the request is its first.
    New,
    /// At least one request and its response.
    Reused,
}

/// How a request ended whose last byte was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// A complete response came; `is_own` is false if its body was made for another request.
    Answered {
        /// The status of the response.
        status: u16,
        /// The body of a 200 was made for this request.
        is_own: bool,
    },
    /// The connection ended without a complete response, as the operating system says.
    Closed(io::ErrorKind),
    /// Nothing came for as long as the client waits.
    Unanswered,
}

/// A request whose last byte was written.
#[derive(Clone, Debug)]
pub(super) struct EndedRequest {
    pub(super) id: RequestId,
    pub(super) sender: Sender,
    pub(super) connection: ConnectionUse,
    pub(super) class: RequestClass,
    pub(super) timeout: Duration,
    /// When its first byte was about to be written.
    pub(super) started_at: Instant,
    /// When its last byte had been written.
    pub(super) written_at: Instant,
    pub(super) ended_at: Instant,
    pub(super) end: RequestEnd,
}

/// One process of the sidecar.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessLife {
    pub(super) started_at: Instant,
    /// When the first SIGTERM was sent.
    pub(super) terminated_at: Option<Instant>,
    /// When SIGKILL was sent.
    pub(super) killed_at: Option<Instant>,
}

/// A process that ended although nothing had told it to, or badly.
#[derive(Clone, Debug)]
pub(super) struct UnexpectedExit {
    pub(super) at: Instant,
    pub(super) status: String,
}

/// Everything that is recorded in a run.
pub(super) struct Record {
    pub(super) started_at: Instant,
    next_id: AtomicU64,
    requests: Mutex<Vec<EndedRequest>>,
    executions: Mutex<HashMap<RequestId, u32>>,
    lives: Mutex<Vec<ProcessLife>>,
    unexpected_exits: Mutex<Vec<UnexpectedExit>>,
}

impl Record {
    pub(super) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            next_id: AtomicU64::new(1),
            requests: Mutex::default(),
            executions: Mutex::default(),
            lives: Mutex::default(),
            unexpected_exits: Mutex::default(),
        }
    }

    /// An id that no other request of this run has.
    pub(super) fn next_id(&self) -> RequestId {
        RequestId(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    pub(super) fn on_request_ended(&self, request: EndedRequest) {
        lock(&self.requests).push(request);
    }

    /// Records that a server has read a complete request; `id` is its text on the wire.
    pub(super) fn on_executed(&self, id: &str) {
        if let Ok(id) = u64::from_str_radix(id, 16) {
            *lock(&self.executions).entry(RequestId(id)).or_default() += 1;
        }
    }

    pub(super) fn on_process_started(&self) {
        lock(&self.lives).push(ProcessLife {
            started_at: Instant::now(),
            terminated_at: None,
            killed_at: None,
        });
    }

    pub(super) fn on_terminated(&self) {
        if let Some(life) = lock(&self.lives).last_mut() {
            life.terminated_at.get_or_insert_with(Instant::now);
        }
    }

    pub(super) fn on_killed(&self) {
        if let Some(life) = lock(&self.lives).last_mut() {
            life.killed_at = Some(Instant::now());
        }
    }

    pub(super) fn on_unexpected_exit(&self, status: String) {
        let at = Instant::now();
        lock(&self.unexpected_exits).push(UnexpectedExit { at, status });
    }

    pub(super) fn requests(&self) -> Vec<EndedRequest> {
        lock(&self.requests).clone()
    }

    pub(super) fn lives(&self) -> Vec<ProcessLife> {
        lock(&self.lives).clone()
    }

    pub(super) fn unexpected_exits(&self) -> Vec<UnexpectedExit> {
        lock(&self.unexpected_exits).clone()
    }

    /// How often servers have executed a request.
    pub(super) fn executions(&self, id: RequestId) -> u32 {
        lock(&self.executions).get(&id).copied().unwrap_or(0)
    }
}
