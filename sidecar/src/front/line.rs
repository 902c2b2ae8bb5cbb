//! One terminal's connection: what it is doing, and until when it may go on without an open transaction.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::limits::Limits;

/// What is known of a terminal, shared by its connection and by the requests on it.
pub struct Terminal {
    /// Since when no transaction has been open; nothing while one is.
    idle_since: Cell<Option<Instant>>,
    /// When the first byte of the request that is being read came.
    begun: Cell<Option<Instant>>,
    /// Bytes have come since the last answer.
    fresh: Cell<bool>,
    /// It has been answered before.
    known: Cell<bool>,
    leave: Notify,
}

impl Terminal {
    pub fn new() -> Rc<Self> {
        let (idle_since, begun) = (Cell::new(Some(Instant::now())), Cell::new(None));
        let (fresh, known, leave) = (Cell::new(false), Cell::new(false), Notify::new());
        Rc::new(Self { idle_since, begun, fresh, known, leave })
    }

    fn heard(&self) {
        self.fresh.set(true);
        if self.begun.get().is_none() {
            self.begun.set(Some(Instant::now()));
        }
    }

    /// True for a request of which no byte came before the last answer: a terminal sends one at a time.
    pub fn one_at_a_time(&self) -> bool {
        self.fresh.get()
    }

    /// Its request is read whole.
    pub fn opened(&self) {
        self.idle_since.set(None);
    }

    /// Its request is answered.
    pub fn answered(&self) {
        self.idle_since.set(Some(Instant::now()));
        self.begun.set(None);
        self.fresh.set(false);
        self.known.set(true);
    }

    /// Who goes first where places are short: those that were answered, which ask again on a new connection,
    /// then those that are idle for longest. Guards first requests against a crowd that says nothing: one that
    /// has connected ahead loses its request with its place.
    pub fn idle(&self) -> Option<(bool, Instant)> {
        self.idle_since.get().filter(|_| self.begun.get().is_none()).map(|since| (!self.known.get(), since))
    }

    pub fn dismiss(&self) {
        self.leave.notify_one();
    }

    fn deadline(&self, limits: &Limits) -> Option<Instant> {
        let idle = self.idle_since.get()? + limits.terminal_idle;
        let Some(begun) = self.begun.get() else { return Some(idle) };
        // A first request is owed its end within a time from the connect.
        let read = if self.known.get() { limits.terminal_read } else { limits.terminal_first };
        Some(idle.max(begun + read))
    }

    /// Guards against places held by terminals that say nothing, or never end what they say.
    pub async fn overstayed(&self, limits: &Limits) {
        loop {
            let due = self.deadline(limits).unwrap_or_else(|| Instant::now() + limits.terminal_idle / 4);
            tokio::select! { () = sleep_until(due) => {}, () = self.leave.notified() => return }
            if self.deadline(limits).is_some_and(|due| due <= Instant::now()) {
                return;
            }
        }
    }
}

/// The connection itself, which tells its terminal's state what comes in.
pub struct Line {
    pub stream: TcpStream,
    pub terminal: Rc<Terminal>,
}

impl AsyncRead for Line {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.terminal.heard();
        }
        read
    }
}

impl AsyncWrite for Line {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
