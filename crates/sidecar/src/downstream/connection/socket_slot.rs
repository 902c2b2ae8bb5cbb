//! Where a client's socket is while the protocol does not use it.

use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;

use tokio::net::TcpStream;

/// A client's socket, or none while the protocol has it and after its end.
pub(in crate::downstream) struct SocketSlot(RefCell<Option<TcpStream>>);

impl SocketSlot {
    /// A slot with that socket in it.
    pub(super) fn new(socket: Option<TcpStream>) -> Self {
        Self(RefCell::new(socket))
    }

    /// Takes the socket out.
    pub(in crate::downstream) fn take(&self) -> Option<TcpStream> {
        self.0.borrow_mut().take()
    }

    /// Puts the socket back.
    pub(in crate::downstream) fn put_back(&self, socket: Option<TcpStream>) {
        *self.0.borrow_mut() = socket;
    }

    /// True where the socket is here and bytes lie unread in it; an end of file is none.
    pub(super) fn has_unread_bytes(&self) -> bool {
        self.0
            .borrow()
            .as_ref()
            .is_some_and(|socket| peek(socket).is_ok_and(|bytes| bytes > 0))
    }
}

/// How many bytes lie unread, as far as one byte shows; 0 at the end of file.
///
/// # Errors
/// `WouldBlock` where nothing is to be read, or why the connection failed.
pub(in crate::downstream) fn peek(socket: &TcpStream) -> io::Result<usize> {
    socket2::SockRef::from(socket).peek(&mut [MaybeUninit::uninit()])
}
