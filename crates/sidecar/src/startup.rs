//! The sidecar in service: starts its parts from a configuration, in the order in which they need
//! each other, moves to another discovery at a reload, and ends them.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowstand_balancer::UpdateKind;
use arrowstand_control::WorkAwareBalancer;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::config::Config;
use crate::counters::Counters;
use crate::discovery;
use crate::downstream::listener::Listener;
use crate::host::BalancerHost;
use crate::shutdown::shut_down;
use crate::startup_error::StartupError;
use crate::upstream::Upstream;

/// The sidecar in service. Its tasks run until the runtime ends.
pub(crate) struct Sidecar {
    host: Rc<BalancerHost>,
    listener: Rc<Listener>,
    /// The task that accepts clients.
    accept: JoinHandle<()>,
    /// Where discovery is.
    discovery: watch::Sender<SocketAddr>,
}

impl Sidecar {
    /// Starts to serve clients.
    ///
    /// # Errors
    /// [`StartupError::Settings`] where the balancer does not take its settings,
    /// [`StartupError::Listen`] where the address for clients cannot be listened on.
    pub(crate) async fn start(config: Config) -> Result<Self, StartupError> {
        let balancer = WorkAwareBalancer::new(config.settings, config.seed)?;
        let limits = Rc::new(config.limits);
        let counters = Rc::new(Counters::default());
        let (host, servers_to_check) =
            BalancerHost::new(balancer, config.names, Rc::clone(&limits), counters);
        let upstream = Upstream::new(&host);
        let socket = listen(config.listen).await?;

        let cached_endpoints = config.cached_endpoints.unwrap_or_default();
        host.update_endpoints(
            UpdateKind::Cached,
            cached_endpoints.revision,
            &cached_endpoints,
        );
        spawn_timers(&host);
        actix_rt::spawn(Rc::clone(&upstream).run_health_checks(servers_to_check));
        actix_rt::spawn(Rc::clone(&upstream).run_pool_sweeps());
        let (discovery, address) = watch::channel(config.discovery);
        let watcher = discovery::follow(
            Rc::clone(&host),
            address,
            cached_endpoints.revision,
            limits,
            config.seed,
        );
        actix_rt::spawn(watcher);
        let listener = Listener::new(Rc::clone(&host), upstream);
        let accept = actix_rt::spawn(Rc::clone(&listener).accept(socket));
        tracing::info!("{} listens on {}", config.name, config.listen);
        Ok(Self {
            host,
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
            // Guards against a bad file that ends a process in service: the old settings stay.
            Err(error) => tracing::error!("not reloaded: {error}"),
        }
    }

    /// Ends in order; what has been accepted gets its response before.
    pub(crate) async fn shut_down(self) {
        shut_down(&self.host, &self.listener, self.accept).await;
    }

    fn on_reloaded(&self, new_address: SocketAddr) {
        tracing::info!("reloaded: discovery is at {new_address}");
        // Guards against a watch that is closed and opened again though discovery has not moved.
        self.discovery.send_if_modified(|address| {
            let has_moved = *address != new_address;
            *address = new_address;
            has_moved
        });
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartupError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartupError::Listen { address, source })
}

fn spawn_timers(host: &Rc<BalancerHost>) {
    let host = Rc::clone(host);
    actix_rt::spawn(async move { host.run_timers().await });
}
