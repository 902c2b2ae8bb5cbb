//! Opens connections to servers and keeps their number within bounds.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::net::TcpStream;
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};

use super::tracked_stream::TrackedStream;
use super::write_progress::CURRENT_WRITE;
use crate::counters::Counters;
use crate::limits::Limits;

/// Opens connections and keeps their number within bounds.
pub struct BoundedConnector {
    open: Cell<usize>,
    pub limits: Rc<Limits>,
    pub counters: Rc<Counters>,
}

impl BoundedConnector {
    pub fn new(limits: Rc<Limits>, counters: Rc<Counters>) -> Rc<Self> {
        Rc::new(Self {
            open: Cell::new(0),
            limits,
            counters,
        })
    }

    /// A client with a pool of its own and none of awc's own time-outs, redirects or headers.
    pub fn client(self: &Rc<Self>) -> Client {
        let this = Rc::clone(self);
        let connect = fn_service(move |info: ConnectInfo<Uri>| {
            let this = Rc::clone(&this);
            async move {
                let uri = info.request().clone();
                let socket = this.open(&uri).await.map_err(ConnectError::Io)?;
                Ok(Connection::new(uri, socket))
            }
        });
        let connector = Connector::new()
            .timeout(self.limits.upstream.connect_timeout)
            .limit(self.limits.upstream.max_connections)
            .conn_keep_alive(self.limits.upstream.idle_reuse_timeout)
            .conn_lifetime(self.limits.client.max_timeout)
            .connector(connect);
        let client = Client::builder().connector(connector);
        client
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish()
    }

    async fn open(self: Rc<Self>, uri: &Uri) -> io::Result<TrackedStream> {
        let address: SocketAddr = uri
            .authority()
            .and_then(|a| a.as_str().parse().ok())
            .ok_or_else(|| io::Error::from(io::ErrorKind::InvalidInput))?;
        // Guards against running out of descriptors: a connection too many fails before it is opened.
        if self.open.get() >= self.limits.upstream.max_connections {
            let _ = CURRENT_WRITE.try_with(|progress| progress.on_connection_limit_reached());
            return Err(io::Error::other("too many connections"));
        }
        self.open.set(self.open.get() + 1);
        self.counters.connections_opened.add();
        let permit = ConnectionPermit(self);
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(TrackedStream::new(stream, permit))
    }
}

/// One of the connections that may be open.
pub struct ConnectionPermit(pub Rc<BoundedConnector>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
