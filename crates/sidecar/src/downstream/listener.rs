//! Accepts client connections up to a limit, serves each of them, and closes it.
//!
//! `client_permits` tracks which connections are open, and `request_handler` produces the
//! responses.

mod ending;

use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::error::DispatchError;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use super::bounded_stream::BoundedStream;
use super::client_permits::{ClientPermits, ConnectionCounts};
use super::connection::ClientConnection;
use super::connection_timeout::wait_for_timeout_or_close;
use super::descriptor_reclaim::{DescriptorReclaim, Reclaim};
use super::http::{ConnectionService, permitted_service};
use super::request_handler::RequestHandler;
use super::service_context::ServiceContext;
use crate::limits::ClientLimits;
use crate::proxy::Proxy;

/// Delay after a failed accept. While file descriptors are exhausted, each accept fails at once, so
/// without the delay the listener would retry without pause.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Longest wait for a descriptor that a connection was told to give back.
const RECLAIM_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts and serves the sidecar's clients.
pub(crate) struct Listener {
    context: Rc<ServiceContext>,
    handler: Rc<RequestHandler>,
    permits: Rc<ClientPermits>,
    /// The connections whose descriptors a new client may get.
    reclaim: Rc<DescriptorReclaim>,
    shutdown_started: Notify,
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
            reclaim: Rc::default(),
            shutdown_started: Notify::new(),
        })
    }

    /// Accepts clients until [`Listener::close`], and then those that are left in the accept queue
    /// of the operating system. A failed accept ends neither: the queue may hold requests.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let Some(service) = permitted_service(Rc::clone(&self.handler)).await else {
            return;
        };
        let service = Rc::new(service);
        loop {
            self.wait_for_descriptor().await;
            match self.accept_next(&listener).await {
                AcceptOutcome::Connection(stream) => self.spawn_connection(stream, &service),
                AcceptOutcome::Failed(error) => {
                    tracing::warn!(%error, "failed to accept a client connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
                AcceptOutcome::ShutdownStarted => {}
                AcceptOutcome::Drained => return,
            }
        }
    }

    /// Waits until a connection may be accepted. At the limit, ends connections that no request
    /// needs, also during the shutdown: the accept queue may hold requests.
    async fn wait_for_descriptor(&self) {
        let limits = &self.context.limits().client;
        while self.permits.is_accept_limit_reached(limits) {
            self.reclaim_next(limits).await;
        }
    }

    /// Ends the connections that no request needs, one after another, for as long as it is polled.
    pub(crate) async fn reclaim_all(&self) -> Infallible {
        let limits = &self.context.limits().client;
        loop {
            self.reclaim_next(limits).await;
        }
    }

    /// Tells a connection to close, if there is one that may, and waits until one has closed or the
    /// next may be told.
    async fn reclaim_next(&self, limits: &ClientLimits) {
        let retry_at = self.reclaim_descriptor(limits);
        tokio::select! {
            () = self.permits.wait_for_close() => {}
            () = sleep_until(retry_at) => {}
        }
    }

    /// Tells a connection to close, if there is one that may; returns when to try again at the
    /// latest.
    fn reclaim_descriptor(&self, limits: &ClientLimits) -> Instant {
        let now = Instant::now();
        let retry_at = now + RECLAIM_RETRY_DELAY;
        match self.reclaim.reclaim_one(now) {
            Reclaim::Requested => retry_at,
            Reclaim::NotBefore(from) => from.min(retry_at),
            Reclaim::Nothing => {
                self.permits.revoke_permit(limits);
                retry_at
            }
        }
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

    /// Spawns a task that serves or rejects a new connection and closes it.
    fn spawn_connection<S>(self: &Rc<Self>, stream: TcpStream, service: &Rc<S>)
    where
        S: ConnectionService + 'static,
    {
        let client = ClientConnection::new(Some(stream));
        let connection = self
            .permits
            .register(&client, &self.context.limits().client);
        let listener = Rc::clone(self);
        let service = Rc::clone(service);
        actix_rt::spawn(async move {
            if connection.got_permit() {
                listener.serve(&*service, &client).await;
            }
            connection.release_permit();
            if client.awaits_first_request() {
                listener.reject(&client).await;
            }
            listener.close_connection(&client).await;
        });
    }

    /// Serves one client until its connection is to be closed, and leaves its socket open for the
    /// lingering close.
    async fn serve(&self, service: &impl ConnectionService, client: &Rc<ClientConnection>) {
        let counters = self.context.counters();
        loop {
            // actix-http allocates its buffers when it starts, so it is not started for clients that
            // send nothing.
            let served = async {
                client.socket_slot().wait_for_input().await;
                match BoundedStream::from_connection(client, &self.context) {
                    Some(stream) => service.call((stream, None)).await,
                    None => Ok(()),
                }
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
                end = wait_for_timeout_or_close(client, self.context.limits()) => {
                    self.refuse_incomplete_request(client, end);
                }
            }
            if client.refusal().is_some() {
                return;
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
        // Idle connections leave their descriptors to those that are accepted last.
        self.permits.close_idle();
        let _ = accept.await;
        self.permits.close_idle();
        self.permits.wait_until_all_closed().await;
    }

    /// The open connections, by what they owe their clients.
    pub(crate) fn connection_counts(&self) -> ConnectionCounts {
        self.permits.counts()
    }
}
