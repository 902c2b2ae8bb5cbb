//! Holds a client's socket while actix-http does not use it.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::task::Poll;

use tokio::io::Interest;
use tokio::net::TcpStream;

/// A client's socket; none while actix-http uses it, and after it was taken to be closed.
pub(in crate::downstream) struct SocketSlot(RefCell<Option<TcpStream>>);

impl SocketSlot {
    /// Creates a slot that holds `socket`.
    pub(super) fn new(socket: Option<TcpStream>) -> Self {
        Self(RefCell::new(socket))
    }

    /// Removes the socket from the slot.
    pub(in crate::downstream) fn take(&self) -> Option<TcpStream> {
        self.0.borrow_mut().take()
    }

    /// Returns the socket to the slot.
    pub(in crate::downstream) fn put_back(&self, socket: Option<TcpStream>) {
        *self.0.borrow_mut() = socket;
    }

    /// Waits until the socket has input or its end; returns at once if the slot has no socket. A
    /// readiness that the operating system does not confirm is cleared.
    pub(in crate::downstream) async fn wait_for_input(&self) {
        poll_fn(|cx| {
            let slot = self.0.borrow();
            let Some(socket) = slot.as_ref() else {
                return Poll::Ready(());
            };
            loop {
                if socket.poll_read_ready(cx).is_pending() {
                    return Poll::Pending;
                }
                let peeked = socket.try_io(Interest::READABLE, || peek(socket));
                if !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock) {
                    return Poll::Ready(());
                }
            }
        })
        .await;
    }

    /// True if the slot holds the socket and it has unread bytes; an end of file does not count.
    pub(in crate::downstream) fn has_unread_bytes(&self) -> bool {
        self.0
            .borrow()
            .as_ref()
            .is_some_and(|socket| peek(socket).is_ok_and(|bytes| bytes > 0))
    }
}

/// Peeks at one byte: returns 1 if unread bytes are available, 0 at the end of file.
///
/// # Errors
/// `WouldBlock` if there is nothing to read, otherwise the error of the failed connection.
pub(in crate::downstream) fn peek(socket: &TcpStream) -> io::Result<usize> {
    socket2::SockRef::from(socket).peek(&mut [MaybeUninit::uninit()])
}
