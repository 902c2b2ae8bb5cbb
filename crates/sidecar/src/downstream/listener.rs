//! Accepts clients within the bounds, serves each connection, and brings it to its end.
//!
//! Which connections are open is `client_permits`' business, what is responded that of the
//! `request_handler`.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::error::DispatchError;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::bounded_stream::BoundedStream;
use super::client_permits::ClientPermits;
use super::connection::ClientConnection;
use super::connection_timeout::timed_out;
use super::http::{ConnectionService, over_capacity_service, permitted_service};
use super::lingering_close::lingering_close;
use super::request_handler::RequestHandler;
use super::service_context::ServiceContext;
use crate::proxy::Proxy;

/// After an accept that failed, the next one waits this long: while descriptors are short, each
/// fails at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The listening side of the sidecar.
pub(crate) struct Listener {
    context: Rc<ServiceContext>,
    handler: Rc<RequestHandler>,
    permits: Rc<ClientPermits>,
    /// Descriptors of connections that linger are wanted.
    descriptor_wanted: Notify,
    shutdown_begun: Notify,
}

/// What serves a connection, by whether it has a permit.
struct ConnectionServices<P, O> {
    permitted: P,
    over_capacity: O,
}

/// How one look for a new connection ended.
enum Accepted {
    Connection(TcpStream),
    Failed(io::Error),
    ShutdownBegun,
    /// The shutdown has begun, and the operating system has accepted no further connection.
    Drained,
}

impl Listener {
    /// A listener whose clients are served by that proxy.
    pub(crate) fn new(context: ServiceContext, proxy: Rc<Proxy>) -> Rc<Self> {
        let context = Rc::new(context);
        Rc::new(Self {
            context: Rc::clone(&context),
            handler: RequestHandler::new(context, proxy),
            permits: Rc::default(),
            descriptor_wanted: Notify::new(),
            shutdown_begun: Notify::new(),
        })
    }

    /// Accepts clients until [`Listener::close`], and then those that the operating system has
    /// accepted by then.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let Some(permitted) = permitted_service(Rc::clone(&self.handler)).await else {
            return;
        };
        let Some(over_capacity) = over_capacity_service(Rc::clone(&self.handler)).await else {
            return;
        };
        let services = Rc::new(ConnectionServices {
            permitted,
            over_capacity,
        });
        while self.wait_for_descriptor().await {
            match self.accept_next(&listener).await {
                Accepted::Connection(stream) => self.spawn_connection(stream, &services),
                Accepted::Failed(error) => {
                    tracing::warn!(%error, "client not accepted");
                    if self.handler.is_shutting_down() {
                        return;
                    }
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
                Accepted::ShutdownBegun => {}
                Accepted::Drained => return,
            }
        }
    }

    /// Waits until a connection may be accepted; false if none will be.
    async fn wait_for_descriptor(&self) -> bool {
        while self
            .permits
            .is_accept_bound_reached(&self.context.limits().client)
        {
            // At the shutdown the descriptors are left to the requests in flight.
            if self.handler.is_shutting_down() {
                return false;
            }
            self.descriptor_wanted.notify_one();
            tokio::select! {
                () = self.permits.connection_closed() => {}
                () = self.shutdown_begun.notified() => {}
            }
        }
        true
    }

    /// Waits for a connection. At the shutdown the operating system may have accepted some that
    /// this program has not, with requests on them: they are accepted before the listener goes.
    async fn accept_next(&self, listener: &TcpListener) -> Accepted {
        let is_shutting_down = self.handler.is_shutting_down();
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => Accepted::Connection(stream),
                Err(error) => Accepted::Failed(error),
            },
            () = self.shutdown_begun.notified(), if !is_shutting_down => Accepted::ShutdownBegun,
            () = tokio::task::yield_now(), if is_shutting_down => Accepted::Drained,
        }
    }

    /// Serves a new connection to its end, in a task of its own.
    fn spawn_connection<P, O>(
        self: &Rc<Self>,
        stream: TcpStream,
        services: &Rc<ConnectionServices<P, O>>,
    ) where
        P: ConnectionService + 'static,
        O: ConnectionService + 'static,
    {
        let client = ClientConnection::new(Some(stream));
        let permit = self.permits.admit(&client, &self.context.limits().client);
        let listener = Rc::clone(self);
        let services = Rc::clone(services);
        actix_rt::spawn(async move {
            if permit.is_permitted() {
                listener.serve(&services.permitted, &client).await;
            } else {
                listener.serve(&services.over_capacity, &client).await;
            }
            permit.on_served();
            if let Some(socket) = client.socket().take() {
                lingering_close(
                    socket,
                    listener.context.limits(),
                    &listener.descriptor_wanted,
                )
                .await;
            }
        });
    }

    /// Serves one client until its connection is to end, and leaves its socket open for that.
    async fn serve(&self, service: &impl ConnectionService, client: &Rc<ClientConnection>) {
        let counters = self.context.counters();
        while let Some(stream) = BoundedStream::take(client, self.context.limits()) {
            let served = async {
                stream.first_byte().await;
                service.call((stream, None)).await
            };
            // What has come already is served: a permit is only taken from a client that is silent.
            tokio::select! {
                biased;
                end = served => {
                    if let Err(DispatchError::Parse(_)) = end {
                        counters.requests_malformed.inc();
                    }
                    return;
                }
                () = timed_out(client, self.context.limits()) => {}
            }
            // A request may have come as its connection was chosen for closing. Nothing of it was
            // read, so the protocol starts again and serves it.
            if !client.has_unread_request() {
                counters.clients_timed_out.inc();
                return;
            }
        }
    }

    /// Ends the accepting, closes idle connections, and waits until all requests in flight have
    /// their responses.
    pub(crate) async fn close(&self, accept: JoinHandle<()>) {
        self.handler.on_shutdown();
        self.shutdown_begun.notify_one();
        let _ = accept.await;
        self.permits.close_idle();
        self.closed().await;
    }

    /// Waits until no connection is open.
    pub(crate) async fn closed(&self) {
        self.permits.all_closed().await;
    }
}
