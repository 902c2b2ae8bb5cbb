//! Servers whose connections come up late: the machine drops the program's first packet, and lets the second in.

use std::net::{SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Socket, Type};

pub struct Slow {
    listener: TcpListener,
    /// Takes the one place in the queue until it is let go.
    filler: Option<TcpStream>,
}

impl Slow {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a free port");
        socket.listen(0).expect("listening");
        socket.set_nonblocking(true).expect("not blocking");
        let listener = TcpListener::from(socket);
        let filler =
            TcpStream::connect(listener.local_addr().expect("bound")).expect("the one place");
        Self {
            listener,
            filler: Some(filler),
        }
    }

    pub fn address(&self) -> String {
        self.listener.local_addr().expect("bound").to_string()
    }

    /// True once the program has asked for a connection that does not come up.
    pub fn dialled(&self) -> bool {
        let port = self.listener.local_addr().expect("bound").port();
        let asking = format!(":{port:04X} 02 ");
        std::fs::read_to_string("/proc/net/tcp").is_ok_and(|table| table.contains(&asking))
    }

    /// Frees the place: the next packet of a dial gets through.
    pub fn admit(&mut self) {
        if self.filler.take().is_some() {
            drop(self.listener.accept());
        }
    }

    /// Takes the place again: the next dial does not come up.
    pub fn refill(&mut self) {
        let filler = TcpStream::connect(self.listener.local_addr().expect("bound"));
        self.filler.get_or_insert(filler.expect("the one place"));
    }

    pub fn accept(&self) -> Option<TcpStream> {
        if self.filler.is_some() {
            return None;
        }
        self.listener.accept().ok().map(|(stream, _)| stream)
    }
}
