//! The sidecar in service: starts its parts from a configuration, in the order in which they need
//! each other, moves to another discovery at a reload, and ends them.

mod shared_parts;

use std::net::SocketAddr;
use std::rc::Rc;

use arrowstand_balancer::{ServerId, UpdateKind};
use arrowstand_control::WorkAwareBalancer;
use tokio::net::TcpListener;
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
use shared_parts::SharedParts;

/// The sidecar in service. Its tasks run until the runtime ends.
pub(crate) struct Sidecar {
    limits: Rc<Limits>,
    counters: Rc<Counters>,
    proxy: Rc<Proxy>,
    listener: Rc<Listener>,
    /// The task that accepts clients.
    accept: JoinHandle<()>,
    /// Where discovery is.
    discovery: watch::Sender<SocketAddr>,
}

impl Sidecar {
    /// Starts to serve clients. Somewhat long on purpose: the order in which the parts start can be
    /// read in one place.
    ///
    /// # Errors
    /// [`StartupError::Settings`] where the balancer does not take its settings,
    /// [`StartupError::Listen`] where the address for clients cannot be listened on.
    pub(crate) async fn start(config: Config) -> Result<Self, StartupError> {
        let balancer = WorkAwareBalancer::new(config.settings, config.seed)?;
        let (parts, servers_to_check) =
            SharedParts::new(balancer, config.deployment, config.limits);
        let upstream = new_upstream(&parts);
        let socket = listen(config.listen).await?;

        let cached = config.cached_endpoints.unwrap_or_default();
        parts
            .host
            .update_endpoints(UpdateKind::Cached, cached.revision, &cached);
        spawn_tasks(&parts.host, &upstream, servers_to_check);
        let (discovery, address) = watch::channel(config.discovery);
        let limits = Rc::clone(&parts.limits);
        let watcher = Watcher::new(
            parts.endpoint_sink(),
            address,
            cached.revision,
            limits,
            config.seed,
        );
        actix_rt::spawn(watcher.run());
        let proxy = new_proxy(&parts, upstream);
        let listener = Listener::new(parts.service_context(), Rc::clone(&proxy));
        let accept = actix_rt::spawn(Rc::clone(&listener).accept(socket));
        tracing::info!(sidecar = %config.name, address = %config.listen, "listening for clients");
        Ok(Self {
            limits: parts.limits,
            counters: parts.counters,
            proxy,
            listener,
            accept,
            discovery,
        })
    }

    /// Reads the configuration again and follows discovery to its new address. The rest of a new
    /// file is for the next start: what is in flight rests on the old settings.
    pub(crate) fn reload(&self) {
        match Config::reload() {
            Ok(config) => self.on_reloaded(config.discovery),
            // A mistake in the file is no reason to end a process in service.
            Err(error) => tracing::error!(%error, "configuration not reloaded"),
        }
    }

    /// Ends in order; what has been accepted gets its response before.
    pub(crate) async fn shut_down(self) {
        let limits = &self.limits.shutdown;
        shut_down(&self.proxy, &self.listener, self.accept, limits).await;
        // One message with all counters: the testbed's emulator reads what follows this line.
        tracing::info!("stopped\n{}", self.counters);
    }

    fn on_reloaded(&self, new_address: SocketAddr) {
        tracing::info!(discovery = %new_address, "configuration reloaded");
        // A watch need not be opened again where discovery has not moved.
        self.discovery.send_if_modified(|address| {
            let has_moved = *address != new_address;
            *address = new_address;
            has_moved
        });
    }
}

fn new_upstream(parts: &SharedParts) -> Rc<Upstream> {
    Upstream::new(
        parts.server_directory(),
        Rc::clone(&parts.limits),
        Rc::clone(&parts.counters),
    )
}

fn new_proxy(parts: &SharedParts, upstream: Rc<Upstream>) -> Rc<Proxy> {
    Proxy::new(
        parts.request_admission(),
        upstream,
        Rc::clone(&parts.limits),
        Rc::clone(&parts.counters),
    )
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartupError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartupError::Listen { address, source })
}

/// Spawns what runs beside the requests: timers, health checks and the sweeps of the pools.
fn spawn_tasks(
    host: &Rc<BalancerHost>,
    upstream: &Rc<Upstream>,
    servers_to_check: mpsc::Receiver<ServerId>,
) {
    let host = Rc::clone(host);
    actix_rt::spawn(async move { host.run_timers().await });
    actix_rt::spawn(Rc::clone(upstream).run_health_checks(servers_to_check));
    actix_rt::spawn(Rc::clone(upstream).run_pool_sweeps());
}
