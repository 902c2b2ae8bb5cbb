//! A server whose connections come up late: the operating system drops the sidecar's first packet,
//! and lets a later one in.

use std::net::{SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Socket, Type};

use super::socket_table;

/// A server with a queue for one connection, which is full until it is admitted.
pub(super) struct SlowServer {
    listener: TcpListener,
    /// Fills the queue.
    filler: Option<TcpStream>,
}

impl SlowServer {
    /// A server that lets no connection come up yet.
    pub(super) fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a free port");
        socket.listen(0).expect("listening");
        socket.set_nonblocking(true).expect("not blocking");
        let listener = TcpListener::from(socket);
        let filler = fill_queue(&listener);
        Self {
            listener,
            filler: Some(filler),
        }
    }

    /// Where it listens.
    pub(super) fn address(&self) -> String {
        self.listener.local_addr().expect("bound").to_string()
    }

    /// True while the sidecar waits for a connection that does not come up.
    pub(super) fn is_dialled(&self) -> bool {
        let port = self.listener.local_addr().expect("bound").port();
        socket_table::is_dialled(port)
    }

    /// Empties the queue: the next packet of a connection attempt gets through.
    pub(super) fn admit(&mut self) {
        if self.filler.take().is_some() {
            drop(self.listener.accept());
        }
    }

    /// Fills the queue again: the next connection does not come up.
    pub(super) fn refill(&mut self) {
        let filler = fill_queue(&self.listener);
        self.filler.get_or_insert(filler);
    }

    /// The next connection that came up.
    pub(super) fn accept(&self) -> Option<TcpStream> {
        if self.filler.is_some() {
            return None;
        }
        self.listener.accept().ok().map(|(stream, _)| stream)
    }
}

fn fill_queue(listener: &TcpListener) -> TcpStream {
    TcpStream::connect(listener.local_addr().expect("bound")).expect("the one place")
}
