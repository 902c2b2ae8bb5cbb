//! Lifecycle of the sidecar: starts its components from a configuration in the order of their
//! dependencies, switches to a new discovery address on reload, and shuts the components down.

mod shared_components;

use std::net::SocketAddr;
use std::rc::Rc;

use arrowstand_balancer::{ServerId, UpdateKind};
use arrowstand_control::WorkAwareBalancer;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::config::Config;
use crate::counters::Counters;
use crate::discovery::Watcher;
use crate::downstream::listener::Listener;
use crate::host::BalancerHost;
use crate::limits::Limits;
use crate::proxy::Proxy;
use crate::shutdown::shut_down;
use crate::startup_error::StartupError;
use crate::upstream::Upstream;
use shared_components::SharedComponents;

/// A running sidecar. Its tasks run until the runtime ends.
pub(crate) struct Sidecar {
    limits: Rc<Limits>,
    counters: Rc<Counters>,
    proxy: Rc<Proxy>,
    listener: Rc<Listener>,
    /// Task that accepts client connections.
    accept_task: JoinHandle<()>,
    /// Passes the address of discovery to the watcher.
    discovery_address: watch::Sender<SocketAddr>,
}

impl Sidecar {
    /// Starts all components and begins to serve clients. This function is kept whole, although
    /// long, so that the startup order can be read in one place.
    ///
    /// # Errors
    /// [`StartupError::Settings`] if the balancer rejects its settings, [`StartupError::Listen`] if
    /// the listening socket for clients cannot be opened.
    pub(crate) fn start(config: Config) -> Result<Self, StartupError> {
        let balancer = WorkAwareBalancer::new(config.settings, config.seed)?;
        let (components, servers_to_check) =
            SharedComponents::new(balancer, config.deployment, config.limits);
        let upstream = new_upstream(&components);
        let socket = listen(config.listen_address, &components.limits)?;

        let cached = config.cached_endpoints.unwrap_or_default();
        components
            .host
            .update_endpoints(UpdateKind::Cached, cached.revision, &cached);
        spawn_background_tasks(&components.host, &upstream, servers_to_check);
        let (discovery_address, address) = watch::channel(config.discovery_address);
        let limits = Rc::clone(&components.limits);
        let watcher = Watcher::new(
            components.endpoint_sink(),
            address,
            cached.revision,
            limits,
            config.seed,
        );
        actix_rt::spawn(watcher.run());
        let proxy = new_proxy(&components, upstream);
        let listener = Listener::new(components.service_context(), Rc::clone(&proxy));
        let accept_task = actix_rt::spawn(Rc::clone(&listener).accept(socket));
        tracing::info!(
            sidecar = %config.name,
            address = %config.listen_address,
            "listening for clients"
        );
        Ok(Self {
            limits: components.limits,
            counters: components.counters,
            proxy,
            listener,
            accept_task,
            discovery_address,
        })
    }

    /// Reloads the configuration and switches to its discovery address. All other changes take
    /// effect at the next start, because requests in flight depend on the old settings.
    pub(crate) async fn reload(&self) {
        match Config::reload().await {
            Ok(config) => self.on_reloaded(config.discovery_address),
            // An invalid file must not stop a running sidecar.
            Err(error) => {
                tracing::error!(%error, "configuration reload failed, keeping the old one");
            }
        }
    }

    /// Shuts down gracefully: every accepted request gets its response first.
    pub(crate) async fn shut_down(self) {
        let limits = &self.limits.shutdown;
        shut_down(&self.proxy, &self.listener, self.accept_task, limits).await;
        // One message with all counters: the testbed's emulator parses the lines after "stopped".
        tracing::info!("stopped\n{}", self.counters);
    }

    fn on_reloaded(&self, new_address: SocketAddr) {
        tracing::info!(discovery = %new_address, "configuration reloaded");
        // An unchanged address must not make the watcher reopen its watch.
        self.discovery_address.send_if_modified(|address| {
            let has_changed = *address != new_address;
            *address = new_address;
            has_changed
        });
    }
}

fn new_upstream(components: &SharedComponents) -> Rc<Upstream> {
    Upstream::new(
        components.server_directory(),
        Rc::clone(&components.limits),
        Rc::clone(&components.counters),
    )
}

fn new_proxy(components: &SharedComponents, upstream: Rc<Upstream>) -> Rc<Proxy> {
    Proxy::new(
        components.request_admission(),
        upstream,
        Rc::clone(&components.limits),
        Rc::clone(&components.counters),
    )
}

/// Opens the listening socket. Connections that wait in the operating system's queue are taken: one
/// that the queue has no room for is established for its client alone, and its request is not read
/// before the operating system tries again, after a second or more.
fn listen(address: SocketAddr, limits: &Limits) -> Result<TcpListener, StartupError> {
    let max_waiting = limits.client.max_waiting_connections;
    let open = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(u32::try_from(max_waiting).unwrap_or(u32::MAX))
    };
    open().map_err(|source| StartupError::Listen { address, source })
}

/// Spawns the background tasks: timers, health checks and sweeps of the connection pools.
fn spawn_background_tasks(
    host: &Rc<BalancerHost>,
    upstream: &Rc<Upstream>,
    servers_to_check: mpsc::Receiver<ServerId>,
) {
    let host = Rc::clone(host);
    actix_rt::spawn(async move { host.run_timers().await });
    actix_rt::spawn(Rc::clone(upstream).run_health_checks(servers_to_check));
    actix_rt::spawn(Rc::clone(upstream).run_pool_sweeps());
}
