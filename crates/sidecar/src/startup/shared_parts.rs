//! The parts that several sides of the sidecar share, and the interface of each side to them.

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

/// What the sides share. No side gets all of it.
pub(super) struct SharedParts {
    pub(super) host: Rc<BalancerHost>,
    pub(super) limits: Rc<Limits>,
    pub(super) counters: Rc<Counters>,
    clock: Rc<BalancerClock>,
    classes: Rc<ClassTable>,
    freshness: Rc<EndpointListFreshness>,
}

impl SharedParts {
    /// The parts that run this balancer; the receiver yields the servers whose health is to be
    /// checked. Its clock starts now.
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
        let parts = Self {
            host,
            limits,
            counters,
            clock,
            classes: Rc::new(classes),
            freshness: Rc::new(freshness),
        };
        (parts, servers_to_check)
    }

    /// What discovery needs.
    pub(super) fn endpoint_sink(&self) -> EndpointSink {
        EndpointSink::new(
            Rc::clone(&self.host),
            Rc::clone(&self.freshness),
            Rc::clone(&self.counters),
        )
    }

    /// What the proxy needs.
    pub(super) fn request_admission(&self) -> RequestAdmission {
        RequestAdmission::new(Rc::clone(&self.host), Rc::clone(&self.classes))
    }

    /// What the transport needs.
    pub(super) fn server_directory(&self) -> ServerDirectory {
        ServerDirectory::new(
            Rc::clone(&self.host),
            Rc::clone(&self.freshness),
            Rc::clone(&self.clock),
        )
    }

    /// What the listener needs.
    pub(super) fn service_context(&self) -> ServiceContext {
        ServiceContext::new(
            Rc::clone(&self.host),
            Rc::clone(&self.classes),
            Rc::clone(&self.limits),
            Rc::clone(&self.counters),
        )
    }
}
