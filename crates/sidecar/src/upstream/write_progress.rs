//! Tracks how much of a request has been written to its connection, and checks before its first
//! byte whether it may still be sent.
//!
//! This alone determines whether a server may have executed a request: awc reports a connection
//! that ended before a response like one that was never established. The connection's stream
//! records the bytes that the socket accepted through [`CURRENT_WRITE_PROGRESS`]; the sender of the
//! request reads the result from its [`WriteProgress`].
//!
//! # Invariant
//! A request that is not [fully written](WriteProgress::is_fully_written) cannot have been
//! executed: the operating system has not accepted its last byte. A fully written request may have
//! been executed. The phase only moves forward, and a request that the sidecar did not send stays
//! [`WritePhase::NotSent`], whatever is recorded later. The first byte is written only if
//! [`SendGuard`] allows it at that moment; later bytes are never blocked, since a partial request
//! is useless to the server.
//!
//! # Failure modes and symptoms
//! - The bytes that awc writes are not the head followed by `body_length` bytes of body, for
//!   instance because a new version uses chunks. If the count ends too late, requests that were
//!   executed count as `attempts_connect_failed` and are retried: servers see a request id twice
//!   although its class does not allow it. If it ends too early, requests that were cut off count
//!   as `attempts_reset` and `attempts_timed_out`, and those that must not be repeated fail
//!   (`responses_failed` rises) although nothing was executed.
//! - The check is skipped or made too early, before the connect: servers report work after the
//!   grace period of their drain, and the `attempts_blocked_*` counters stay at zero through drains
//!   and address changes.
//! - The check blocks too much: one of the `attempts_blocked_*` counters rises.
//!   `attempts_blocked_list_stale` for all servers at once means that discovery sends no updates,
//!   not that this file is wrong.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

use super::send_guard::SendGuard;
use crate::limits::Limits;
use crate::message::SendBlocked;

tokio::task_local! {
    /// The progress of the request that the current task is sending, on whichever connection the
    /// pool provides.
    pub static CURRENT_WRITE_PROGRESS: Rc<WriteProgress>;
}

/// The end of a request's head (RFC 9112, section 2.1): the end of its last line and an empty line.
const HEAD_TERMINATOR: &[u8; 4] = b"\r\n\r\n";

/// How much of one request the socket has accepted, and the guard that is checked before its first
/// byte.
pub(super) struct WriteProgress {
    guard: Option<SendGuard>,
    /// Length of the request's body in bytes.
    body_length: usize,
    phase: Cell<WritePhase>,
}

/// The phases of writing a request, in order. A request in `NotSent` stays there.
#[derive(Clone, Copy)]
enum WritePhase {
    NotStarted,
    /// The sidecar itself decided not to send the request.
    NotSent,
    WritingHead {
        started_at: Instant,
        /// Length of the prefix of [`HEAD_TERMINATOR`] that the last bytes written match.
        matched_terminator_bytes: usize,
    },
    WritingBody {
        started_at: Instant,
        remaining_bytes: usize,
    },
    FullyWritten {
        started_at: Instant,
    },
    /// The connection ended after the request was fully written.
    ConnectionEnded {
        started_at: Instant,
    },
}

impl WriteProgress {
    /// Creates the progress of a request with a body of `body_length` bytes. `guard` may block its
    /// first byte.
    pub(super) fn new(guard: Option<SendGuard>, body_length: usize) -> Rc<Self> {
        Rc::new(Self {
            guard,
            body_length,
            phase: Cell::new(WritePhase::NotStarted),
        })
    }

    /// When the socket accepted the first byte.
    pub(super) fn started_at(&self) -> Option<Instant> {
        match self.phase.get() {
            WritePhase::NotStarted | WritePhase::NotSent => None,
            WritePhase::WritingHead { started_at, .. }
            | WritePhase::WritingBody { started_at, .. }
            | WritePhase::FullyWritten { started_at }
            | WritePhase::ConnectionEnded { started_at } => Some(started_at),
        }
    }

    /// True if the sidecar itself decided not to send the request, so that it is no failure of the
    /// server.
    pub(super) fn is_not_sent(&self) -> bool {
        matches!(self.phase.get(), WritePhase::NotSent)
    }

    /// True once the socket has accepted the last byte, after which the server may execute the
    /// request.
    pub(super) fn is_fully_written(&self) -> bool {
        matches!(
            self.phase.get(),
            WritePhase::FullyWritten { .. } | WritePhase::ConnectionEnded { .. }
        )
    }

    /// True if the connection ended after the request was fully written.
    pub(super) fn connection_ended(&self) -> bool {
        matches!(self.phase.get(), WritePhase::ConnectionEnded { .. })
    }

    /// Records that no connection was opened for the request because the limit is reached.
    pub(super) fn on_connection_limit_reached(&self) {
        self.phase.set(WritePhase::NotSent);
    }

    /// Records that a read from the request's connection returned end of file or failed. Has no
    /// effect on a request that is not fully written.
    pub(super) fn on_connection_ended(&self) {
        if let WritePhase::FullyWritten { started_at } = self.phase.get() {
            self.phase.set(WritePhase::ConnectionEnded { started_at });
        }
    }

    /// Checks whether bytes of the request may be written: the first byte only if the guard allows
    /// it, later bytes always.
    ///
    /// # Errors
    /// The reason why the request is not sent.
    pub(super) fn check_may_send(&self, limits: &Limits) -> Result<(), SendBlocked> {
        if self.started_at().is_some() {
            return Ok(());
        }
        let checked = self
            .guard
            .as_ref()
            .map_or(Ok(()), |guard| guard.check(limits));
        if checked.is_err() {
            self.phase.set(WritePhase::NotSent);
        }
        checked
    }

    /// Records that the socket has accepted these bytes of the request.
    pub(super) fn on_written(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let phase = match self.phase.get() {
            WritePhase::NotStarted => self.after_head_bytes(Instant::now(), 0, bytes),
            WritePhase::WritingHead {
                started_at,
                matched_terminator_bytes,
            } => self.after_head_bytes(started_at, matched_terminator_bytes, bytes),
            WritePhase::WritingBody {
                started_at,
                remaining_bytes,
            } => WritePhase::after_body_bytes(started_at, remaining_bytes, bytes.len()),
            unchanged @ (WritePhase::NotSent
            | WritePhase::FullyWritten { .. }
            | WritePhase::ConnectionEnded { .. }) => unchanged,
        };
        self.phase.set(phase);
    }

    fn after_head_bytes(
        &self,
        started_at: Instant,
        mut matched_terminator_bytes: usize,
        bytes: &[u8],
    ) -> WritePhase {
        let mut rest = bytes;
        while let Some(&expected) = HEAD_TERMINATOR.get(matched_terminator_bytes) {
            let Some((&byte, after)) = rest.split_first() else {
                return WritePhase::WritingHead {
                    started_at,
                    matched_terminator_bytes,
                };
            };
            rest = after;
            matched_terminator_bytes = if byte == expected {
                matched_terminator_bytes + 1
            } else {
                usize::from(byte == b'\r')
            };
        }
        WritePhase::after_body_bytes(started_at, self.body_length, rest.len())
    }
}

impl WritePhase {
    fn after_body_bytes(started_at: Instant, remaining_bytes: usize, written: usize) -> Self {
        match remaining_bytes.saturating_sub(written) {
            0 => Self::FullyWritten { started_at },
            remaining_bytes => Self::WritingBody {
                started_at,
                remaining_bytes,
            },
        }
    }
}

#[cfg(test)]
mod tests;
