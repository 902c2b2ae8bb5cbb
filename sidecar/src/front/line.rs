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
    /// Bytes of an answer are still to be written.
    owing: Cell<bool>,
    /// It is to close as soon as nothing is owed.
    leaving: Cell<bool>,
    leave: Notify,
}

impl Terminal {
    pub fn new() -> Rc<Self> {
        let (idle_since, begun) = (Cell::new(Some(Instant::now())), Cell::new(None));
        let (fresh, known, leave) = (Cell::new(false), Cell::new(false), Notify::new());
        let (owing, leaving) = (Cell::new(false), Cell::new(false));
        Rc::new(Self { idle_since, begun, fresh, known, owing, leaving, leave })
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
        self.owing.set(true);
    }

    /// All that was to be written is with the machine.
    fn written(&self) {
        if self.owing.replace(false) && self.leaving.get() {
            self.leave.notify_one();
        }
    }

    /// Who goes first where places are short: those that were answered, which ask again on a new connection,
    /// then those that are idle for longest. Guards first requests against a crowd that says nothing: one that
    /// has connected ahead loses its request with its place.
    pub fn idle(&self) -> Option<(bool, Instant)> {
        let free = self.begun.get().is_none() && !self.owing.get();
        self.idle_since.get().filter(|_| free).map(|since| (!self.known.get(), since))
    }

    /// Asks it to close once nothing is owed.
    pub fn dismiss(&self) {
        self.leaving.set(true);
        self.leave.notify_one();
    }

    /// True where its next answer is its last.
    pub fn leaving(&self) -> bool {
        self.leaving.get()
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
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.leave.notified() => {
                    // Guards against a request that the machine has and this program has not read yet: the
                    // sockets are looked at once more before "idle" counts, and a request that is read is answered.
                    tokio::task::yield_now().await;
                    if self.idle().is_some() {
                        return;
                    }
                }
            }
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
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.terminal.written();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    async fn leaves(terminal: &Terminal, limits: &Limits) -> bool {
        tokio::time::timeout(std::time::Duration::from_millis(50), terminal.overstayed(limits)).await.is_ok()
    }

    #[tokio::test(flavor = "current_thread")]
    async fn a_dismissed_terminal_stays_until_it_is_owed_nothing() {
        let limits = Limits::derive(&crate::limits::Basis { sockets: 64, ..Default::default() });
        let terminal = Terminal::new();
        terminal.dismiss();
        assert!(leaves(&terminal, &limits).await, "silent");
        terminal.dismiss();
        terminal.heard();
        assert!(!leaves(&terminal, &limits).await, "a request has begun");
        terminal.opened();
        terminal.dismiss();
        assert!(!leaves(&terminal, &limits).await, "a transaction is open");
        terminal.answered();
        terminal.dismiss();
        assert!(!leaves(&terminal, &limits).await, "its answer is not written");
        terminal.written();
        assert!(leaves(&terminal, &limits).await, "its answer is written");
    }
}
