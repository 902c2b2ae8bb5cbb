//! The components that discovery, the proxy, upstream and downstream share, and the interfaces
//! through which they access them.

use std::rc::Rc;

use arrowstand_balancer::ServerId;
use arrowstand_control::WorkAwareBalancer;
use tokio::sync::mpsc;

use crate::config::DeploymentMetadata;
use crate::counters::Counters;
use crate::discovery::EndpointSink;
use crate::downstream::ServiceContext;
use crate::host::{BalancerClock, BalancerHost, ClassTable, EndpointListFreshness, ServerRegistry};
use crate::limits::Limits;
use crate::proxy::RequestAdmission;
use crate::upstream::ServerDirectory;

/// The shared components. Each module gets only an interface to those that it needs.
pub(super) struct SharedComponents {
    pub(super) host: Rc<BalancerHost>,
    pub(super) limits: Rc<Limits>,
    pub(super) counters: Rc<Counters>,
    clock: Rc<BalancerClock>,
    classes: Rc<ClassTable>,
    freshness: Rc<EndpointListFreshness>,
}

impl SharedComponents {
    /// Creates the components around `balancer` and starts its clock. The receiver yields the
    /// servers whose health is to be checked.
    pub(super) fn new(
        balancer: WorkAwareBalancer,
        deployment: DeploymentMetadata,
        limits: Limits,
    ) -> (Self, mpsc::Receiver<ServerId>) {
        let limits = Rc::new(limits);
        let counters = Rc::new(Counters::default());
        let clock = Rc::new(BalancerClock::start());
        let staleness = limits.discovery.staleness;
        let freshness = EndpointListFreshness::new(staleness, Rc::clone(&clock));
        let classes = ClassTable::new(&deployment);
        let (host, servers_to_check) = BalancerHost::new(
            balancer,
            ServerRegistry::new(deployment.zones, deployment.machines),
            Rc::clone(&clock),
            Rc::clone(&limits),
            Rc::clone(&counters),
        );
        let components = Self {
            host,
            limits,
            counters,
            clock,
            classes: Rc::new(classes),
            freshness: Rc::new(freshness),
        };
        (components, servers_to_check)
    }

    /// Creates the interface of the discovery client.
    pub(super) fn endpoint_sink(&self) -> EndpointSink {
        EndpointSink::new(
            Rc::clone(&self.host),
            Rc::clone(&self.freshness),
            Rc::clone(&self.counters),
        )
    }

    /// Creates the interface of the proxy.
    pub(super) fn request_admission(&self) -> RequestAdmission {
        RequestAdmission::new(Rc::clone(&self.host), Rc::clone(&self.classes))
    }

    /// Creates the interface of the upstream side.
    pub(super) fn server_directory(&self) -> ServerDirectory {
        ServerDirectory::new(
            Rc::clone(&self.host),
            Rc::clone(&self.freshness),
            Rc::clone(&self.clock),
        )
    }

    /// Creates the interface of the listener and its connections.
    pub(super) fn service_context(&self) -> ServiceContext {
        ServiceContext::new(
            Rc::clone(&self.host),
            Rc::clone(&self.classes),
            Rc::clone(&self.limits),
            Rc::clone(&self.counters),
        )
    }
}
