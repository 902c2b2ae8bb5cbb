//! Accepts client connections up to a limit, serves each of them, and closes it.
//!
//! `client_permits` tracks which connections are open, and `request_handler` produces the
//! responses.

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
use super::connection_timeout::wait_for_timeout_or_close;
use super::http::{ConnectionService, over_capacity_service, permitted_service};
use super::lingering_close::lingering_close;
use super::request_handler::RequestHandler;
use super::service_context::ServiceContext;
use crate::proxy::Proxy;

/// Delay after a failed accept. While file descriptors are exhausted, each accept fails at once, so
/// without the delay the listener would retry without pause.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts and serves the sidecar's clients.
pub(crate) struct Listener {
    context: Rc<ServiceContext>,
    handler: Rc<RequestHandler>,
    permits: Rc<ClientPermits>,
    /// A new client needs the file descriptor of a connection in its lingering close.
    descriptor_wanted: Notify,
    shutdown_started: Notify,
}

/// The services for connections with and without a permit.
struct ConnectionServices<P, O> {
    permitted: P,
    over_capacity: O,
}

/// The outcome of one wait for a new connection.
enum AcceptOutcome {
    Connection(TcpStream),
    Failed(io::Error),
    ShutdownStarted,
    /// The shutdown has started, and the accept queue of the operating system is empty.
    Drained,
}

impl Listener {
    /// Creates a listener whose requests are run by `proxy`.
    pub(crate) fn new(context: ServiceContext, proxy: Rc<Proxy>) -> Rc<Self> {
        let context = Rc::new(context);
        Rc::new(Self {
            context: Rc::clone(&context),
            handler: RequestHandler::new(context, proxy),
            permits: Rc::default(),
            descriptor_wanted: Notify::new(),
            shutdown_started: Notify::new(),
        })
    }

    /// Accepts clients until [`Listener::close`], and then those that are left in the accept queue
    /// of the operating system.
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
                AcceptOutcome::Connection(stream) => self.spawn_connection(stream, &services),
                AcceptOutcome::Failed(error) => {
                    tracing::warn!(%error, "failed to accept a client connection");
                    if self.handler.is_shutting_down() {
                        return;
                    }
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
                AcceptOutcome::ShutdownStarted => {}
                AcceptOutcome::Drained => return,
            }
        }
    }

    /// Waits until a connection may be accepted; false if no more will be accepted.
    async fn wait_for_descriptor(&self) -> bool {
        while self
            .permits
            .is_accept_limit_reached(&self.context.limits().client)
        {
            // During the shutdown the file descriptors are left to the requests in flight.
            if self.handler.is_shutting_down() {
                return false;
            }
            self.descriptor_wanted.notify_one();
            tokio::select! {
                () = self.permits.wait_for_close() => {}
                () = self.shutdown_started.notified() => {}
            }
        }
        true
    }

    /// Waits for a connection. At the shutdown the accept queue of the operating system may hold
    /// connections with requests on them: they are accepted before the listener closes.
    async fn accept_next(&self, listener: &TcpListener) -> AcceptOutcome {
        let is_shutting_down = self.handler.is_shutting_down();
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => AcceptOutcome::Connection(stream),
                Err(error) => AcceptOutcome::Failed(error),
            },
            () = self.shutdown_started.notified(), if !is_shutting_down => {
                AcceptOutcome::ShutdownStarted
            }
            () = tokio::task::yield_now(), if is_shutting_down => AcceptOutcome::Drained,
        }
    }

    /// Spawns a task that serves a new connection and closes it.
    fn spawn_connection<P, O>(
        self: &Rc<Self>,
        stream: TcpStream,
        services: &Rc<ConnectionServices<P, O>>,
    ) where
        P: ConnectionService + 'static,
        O: ConnectionService + 'static,
    {
        let client = ClientConnection::new(Some(stream));
        let connection = self
            .permits
            .register(&client, &self.context.limits().client);
        let listener = Rc::clone(self);
        let services = Rc::clone(services);
        actix_rt::spawn(async move {
            if connection.got_permit() {
                listener.serve(&services.permitted, &client).await;
            } else {
                listener.serve(&services.over_capacity, &client).await;
            }
            connection.release_permit();
            if let Some(mut socket) = client.socket_slot().take() {
                if let Some(refusal) = client.refusal() {
                    let retry_after = listener.context.limits().default_retry_after;
                    refusal.write_to(&mut socket, retry_after).await;
                }
                lingering_close(
                    socket,
                    listener.context.limits(),
                    &listener.descriptor_wanted,
                )
                .await;
            }
        });
    }

    /// Serves one client until its connection is to be closed, and leaves its socket open for the
    /// lingering close.
    async fn serve(&self, service: &impl ConnectionService, client: &Rc<ClientConnection>) {
        let counters = self.context.counters();
        while let Some(stream) = BoundedStream::from_connection(client, &self.context) {
            let served = async {
                stream.wait_for_first_byte().await;
                service.call((stream, None)).await
            };
            // Polls the service first, so that input already received is served: a permit is only
            // revoked from a client that sends nothing.
            tokio::select! {
                biased;
                end = served => {
                    if let Err(DispatchError::Parse(_)) = end {
                        counters.requests_malformed.inc();
                    }
                    return;
                }
                () = wait_for_timeout_or_close(client, self.context.limits()) => {}
            }
            // A request may have arrived while its connection was being selected for closing.
            // Nothing of it was read, so the service is restarted and serves it.
            if !client.has_unread_request() {
                counters.clients_timed_out.inc();
                return;
            }
        }
    }

    /// Stops accepting, closes idle connections, and waits until all requests in flight have their
    /// responses and all connections are closed.
    pub(crate) async fn close(&self, accept: JoinHandle<()>) {
        self.handler.on_shutdown();
        self.shutdown_started.notify_one();
        let _ = accept.await;
        self.permits.close_idle();
        self.wait_until_closed().await;
    }

    /// Waits until no connection is open.
    pub(crate) async fn wait_until_closed(&self) {
        self.permits.wait_until_all_closed().await;
    }
}
