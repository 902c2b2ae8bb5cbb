//! Addresses for the sidecar and its peers.

use std::net::TcpListener;

use tokio::net::TcpSocket;

/// A listener on a free port, which does not block.
pub(super) fn bind_free_port() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("not blocking");
    listener
}

/// The address that a listener is bound to.
pub(super) fn address_of(listener: &TcpListener) -> String {
    listener.local_addr().expect("bound").to_string()
}

/// A free address on which the sidecar may listen, but which nobody else gets until this is dropped.
/// A port that was only looked up could be taken before the sidecar listens, and the test would talk
/// to another test's sidecar, or to none.
pub(super) struct ReservedAddress {
    _socket: TcpSocket,
    address: String,
}

impl ReservedAddress {
    /// Reserves an address; connections to it are refused until somebody listens.
    pub(super) fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .bind("127.0.0.1:0".parse().expect("an address"))
            .expect("a free port");
        socket.set_reuseaddr(true).expect("shared with a listener");
        let address = socket.local_addr().expect("bound").to_string();
        Self {
            _socket: socket,
            address,
        }
    }

    /// The address.
    pub(super) fn address(&self) -> &str {
        &self.address
    }
}
