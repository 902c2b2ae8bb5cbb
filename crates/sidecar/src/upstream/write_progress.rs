//! How far a request has been written to its connection, and the check before its first byte.
//!
//! Whether a server may have executed a request follows from this alone: awc reports a connection
//! that ended before a response like one that never came up. The connection's stream reports what
//! the socket has accepted through [`CURRENT_WRITE`]; whoever sends the request reads the result
//! from its [`WriteProgress`].
//!
//! # Invariant
//! A request that is not [complete](WriteProgress::is_complete) cannot have been executed: its last
//! byte is not with the operating system. A request that is may have been. The phase moves forward
//! only, and what the sidecar did not let out stays not sent, whatever is reported later. The first
//! byte is written only if [`SendGuard`] allows it at that moment; later bytes are never held back,
//! since half a request helps nobody.
//!
//! # How it breaks, and what shows it
//! - The bytes that awc writes are not the head and then `body_length` bytes of body, for instance
//!   because it came to use chunks. If the count ends too late, requests that were executed count
//!   as `attempts_connect_failed` and are sent again: servers see one request id twice outside its
//!   class. If it ends too early, requests that were cut off count as `attempts_reset` and
//!   `attempts_timed_out`, and those that may not be repeated fail (`responses_failed` rises)
//!   though nothing ran.
//! - The check is skipped or made too early, before the connect: servers report work after the
//!   grace of their drain, and the `attempts_blocked_*` counters stay at zero through drains and
//!   moves.
//! - A check that refuses too much shows as the one `attempts_blocked_*` counter that rises;
//!   `attempts_blocked_list_stale` for all servers at once means that discovery is silent, not that
//!   this file is wrong.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

use super::send_guard::SendGuard;
use crate::limits::Limits;
use crate::message::SendBlocked;

tokio::task_local! {
    /// The request that the current task is sending, whichever connection it got from the pool.
    pub static CURRENT_WRITE: Rc<WriteProgress>;
}

/// What ends a request's head (RFC 9112, section 2.1): the end of its last line and an empty line.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// How much of one request the socket has accepted, and what is checked before its first byte.
pub(super) struct WriteProgress {
    guard: Option<SendGuard>,
    /// Bytes of the request's body.
    body_length: usize,
    phase: Cell<WritePhase>,
}

/// The phases of a request's write, in their order. One that is not sent never starts.
#[derive(Clone, Copy)]
enum WritePhase {
    NotStarted,
    /// The sidecar itself has not let the request out.
    NotSent,
    WritingHead {
        started_at: Instant,
        /// Bytes of [`HEAD_END`] that have been written in a row.
        head_end_matched: usize,
    },
    WritingBody {
        started_at: Instant,
        bytes_left: usize,
    },
    Complete {
        started_at: Instant,
    },
    /// The request is complete, and its connection has ended since.
    ConnectionEnded {
        started_at: Instant,
    },
}

impl WriteProgress {
    /// For a request with a body of `body_length` bytes; a guard may block its first byte.
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
            | WritePhase::Complete { started_at }
            | WritePhase::ConnectionEnded { started_at } => Some(started_at),
        }
    }

    /// True where the sidecar itself has not let the request out: no fault of the server's.
    pub(super) fn is_not_sent(&self) -> bool {
        matches!(self.phase.get(), WritePhase::NotSent)
    }

    /// True once the socket has accepted the last byte: from then on the server may execute the
    /// request.
    pub(super) fn is_complete(&self) -> bool {
        matches!(
            self.phase.get(),
            WritePhase::Complete { .. } | WritePhase::ConnectionEnded { .. }
        )
    }

    /// True where the connection ended while the response was read.
    pub(super) fn connection_ended(&self) -> bool {
        matches!(self.phase.get(), WritePhase::ConnectionEnded { .. })
    }

    /// No connection was opened for the request: as many as allowed are open.
    pub(super) fn on_connection_limit_reached(&self) {
        self.phase.set(WritePhase::NotSent);
    }

    /// A read from the request's connection found its end, or failed. Without effect on a request
    /// that is not complete.
    pub(super) fn on_connection_ended(&self) {
        if let WritePhase::Complete { started_at } = self.phase.get() {
            self.phase.set(WritePhase::ConnectionEnded { started_at });
        }
    }

    /// Checks whether the request's first byte may be written; later bytes always may.
    ///
    /// # Errors
    /// Why the request is not sent.
    pub(super) fn check_first_byte(&self, limits: &Limits) -> Result<(), SendBlocked> {
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

    /// The socket has accepted these bytes of the request.
    pub(super) fn on_written(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let phase = match self.phase.get() {
            WritePhase::NotStarted => self.after_head_bytes(Instant::now(), 0, bytes),
            WritePhase::WritingHead {
                started_at,
                head_end_matched,
            } => self.after_head_bytes(started_at, head_end_matched, bytes),
            WritePhase::WritingBody {
                started_at,
                bytes_left,
            } => WritePhase::after_body_bytes(started_at, bytes_left, bytes.len()),
            last @ (WritePhase::NotSent
            | WritePhase::Complete { .. }
            | WritePhase::ConnectionEnded { .. }) => last,
        };
        self.phase.set(phase);
    }

    fn after_head_bytes(
        &self,
        started_at: Instant,
        mut head_end_matched: usize,
        bytes: &[u8],
    ) -> WritePhase {
        let mut rest = bytes;
        while let Some(&expected) = HEAD_END.get(head_end_matched) {
            let Some((&byte, after)) = rest.split_first() else {
                return WritePhase::WritingHead {
                    started_at,
                    head_end_matched,
                };
            };
            rest = after;
            head_end_matched = if byte == expected {
                head_end_matched + 1
            } else {
                usize::from(byte == b'\r')
            };
        }
        WritePhase::after_body_bytes(started_at, self.body_length, rest.len())
    }
}

impl WritePhase {
    fn after_body_bytes(started_at: Instant, bytes_left: usize, written: usize) -> Self {
        match bytes_left.saturating_sub(written) {
            0 => Self::Complete { started_at },
            bytes_left => Self::WritingBody {
                started_at,
                bytes_left,
            },
        }
    }
}

#[cfg(test)]
mod tests;
