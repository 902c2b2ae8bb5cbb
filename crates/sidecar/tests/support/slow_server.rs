//! A server whose connections are established late: while its accept queue is full, the operating
//! system drops the sidecar's SYN, and a retransmitted one succeeds later.

use std::net::{SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Socket, Type};

use super::socket_table;

/// A server with an accept queue for one connection, which is full until [`admit`](Self::admit).
pub(super) struct SlowServer {
    listener: TcpListener,
    /// The connection that fills the queue.
    filler: Option<TcpStream>,
}

impl SlowServer {
    /// Creates a server with a full queue.
    pub(super) fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket is created");
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("port is free");
        socket.listen(0).expect("socket listens");
        socket
            .set_nonblocking(true)
            .expect("socket is non-blocking");
        let listener = TcpListener::from(socket);
        let filler = fill_queue(&listener);
        Self {
            listener,
            filler: Some(filler),
        }
    }

    pub(super) fn address(&self) -> String {
        self.listener
            .local_addr()
            .expect("socket is bound")
            .to_string()
    }

    /// Whether a connection to the server is pending.
    pub(super) fn has_pending_connect(&self) -> bool {
        let port = self.listener.local_addr().expect("socket is bound").port();
        socket_table::has_pending_connect(port)
    }

    /// Empties the queue, so that the next SYN succeeds.
    pub(super) fn admit(&mut self) {
        if self.filler.take().is_some() {
            drop(self.listener.accept());
        }
    }

    /// Fills the queue again, so that the next connection stays pending.
    pub(super) fn refill(&mut self) {
        let filler = fill_queue(&self.listener);
        self.filler.get_or_insert(filler);
    }

    /// Accepts the next established connection, if any.
    pub(super) fn accept(&self) -> Option<TcpStream> {
        if self.filler.is_some() {
            return None;
        }
        self.listener.accept().ok().map(|(stream, _)| stream)
    }
}

fn fill_queue(listener: &TcpListener) -> TcpStream {
    TcpStream::connect(listener.local_addr().expect("socket is bound"))
        .expect("queue has room for one connection")
}
