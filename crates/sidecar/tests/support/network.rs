//! Listeners and addresses for the sidecar and its peers.

use std::net::TcpListener;

use tokio::net::TcpSocket;

/// Binds a non-blocking listener to a free port.
pub(super) fn bind_free_port() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port is free");
    listener
        .set_nonblocking(true)
        .expect("listener is non-blocking");
    listener
}

pub(super) fn address_of(listener: &TcpListener) -> String {
    listener.local_addr().expect("socket is bound").to_string()
}

/// A free address, reserved until this is dropped, on which the sidecar can listen. Without the
/// reservation another process could bind the port before the sidecar does, and the test would talk
/// to the sidecar of another test, or to none.
pub(super) struct ReservedAddress {
    _socket: TcpSocket,
    address: String,
}

impl ReservedAddress {
    /// Reserves an address; connections to it are refused until a listener is bound to it.
    pub(super) fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("socket is created");
        socket
            .bind("127.0.0.1:0".parse().expect("address is valid"))
            .expect("port is free");
        socket.set_reuseaddr(true).expect("address can be reused");
        let address = socket.local_addr().expect("socket is bound").to_string();
        Self {
            _socket: socket,
            address,
        }
    }

    pub(super) fn address(&self) -> &str {
        &self.address
    }
}
