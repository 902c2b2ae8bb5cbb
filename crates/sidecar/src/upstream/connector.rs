//! Opens connections to servers and creates the awc clients that use them. `connection_pool` keeps
//! the clients.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::net::TcpStream;
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};

use super::connection_limiter::ConnectionLimiter;
use super::tracked_stream::TrackedStream;
use super::write_progress::CURRENT_WRITE_PROGRESS;
use crate::counters::Counters;
use crate::limits::Limits;

/// Opens connections, with one limit on their number for all clients that it has created.
pub(super) struct BoundedConnector {
    limiter: Rc<ConnectionLimiter>,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
}

impl BoundedConnector {
    /// Creates a connector without open connections.
    pub(super) fn new(limits: Rc<Limits>, counters: Rc<Counters>) -> Rc<Self> {
        Rc::new(Self {
            limiter: ConnectionLimiter::new(limits.upstream.max_connections),
            limits,
            counters,
        })
    }

    /// Creates a client with its own pool, without awc's request timeout, redirects and default
    /// headers.
    pub(super) fn new_client(self: &Rc<Self>) -> Client {
        let this = Rc::clone(self);
        let connect = fn_service(move |info: ConnectInfo<Uri>| {
            let this = Rc::clone(&this);
            async move {
                let uri = info.request().clone();
                let stream = this.open(&uri).await.map_err(ConnectError::Io)?;
                Ok(Connection::new(uri, stream))
            }
        });
        let connector = Connector::new()
            .timeout(self.limits.upstream.connect_timeout)
            .limit(self.limits.upstream.max_connections)
            .conn_keep_alive(self.limits.upstream.idle_reuse_timeout)
            .conn_lifetime(self.limits.client.max_timeout)
            .connector(connect);
        Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish()
    }

    async fn open(&self, uri: &Uri) -> io::Result<TrackedStream> {
        let address: SocketAddr = uri
            .authority()
            .and_then(|authority| authority.as_str().parse().ok())
            .ok_or_else(|| io::Error::from(io::ErrorKind::InvalidInput))?;
        let Some(permit) = self.limiter.try_acquire() else {
            let _ =
                CURRENT_WRITE_PROGRESS.try_with(|progress| progress.on_connection_limit_reached());
            return Err(io::Error::other("connection limit reached"));
        };
        self.counters.connections_opened.inc();
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let limits = Rc::clone(&self.limits);
        let counters = Rc::clone(&self.counters);
        Ok(TrackedStream::new(stream, permit, limits, counters))
    }
}
