//! The endpoint list at a sidecar: what it knows of it, and how its balancer learns of changes.

use std::collections::BTreeMap;

use arrowstand_balancer::{Endpoint, EndpointStatus, Event as BalancerEvent, ServerId, UpdateKind};
use arrowstand_control::stable_hash;

use crate::event_log::{ListedStatus, LogEvent};
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::Micros;
use crate::simulator::{EPOCH, Simulator};

/// An entry of a list that is given to a sidecar.
#[derive(Clone, Copy)]
pub(in crate::simulator) struct ListedEndpoint {
    pub(in crate::simulator) server: ServerIndex,
    pub(in crate::simulator) status: ListedStatus,
    /// Start of the server's process; 0 where it was there before the run.
    pub(in crate::simulator) incarnation: Micros,
}

/// The list as a sidecar had it last, which outlives its process.
pub(in crate::simulator) struct CachedEndpoints {
    version: u64,
    endpoints: BTreeMap<ServerIndex, (ListedStatus, Micros)>,
}

impl CachedEndpoints {
    pub(in crate::simulator) fn new(
        version: u64,
        endpoints: BTreeMap<ServerIndex, (ListedStatus, Micros)>,
    ) -> Self {
        Self { version, endpoints }
    }

    /// The list's version.
    pub(in crate::simulator) fn version(&self) -> u64 {
        self.version
    }

    fn entries(&self) -> Vec<ListedEndpoint> {
        let entry = |(&server, &(status, incarnation))| ListedEndpoint {
            server,
            status,
            incarnation,
        };
        self.endpoints.iter().map(entry).collect()
    }

    fn on_listed(&mut self, endpoint: ListedEndpoint) {
        if endpoint.status == ListedStatus::Gone {
            self.endpoints.remove(&endpoint.server);
        } else {
            let entry = (endpoint.status, endpoint.incarnation);
            self.endpoints.insert(endpoint.server, entry);
        }
    }
}

impl Simulator<'_> {
    /// Gives a new balancer the list that its sidecar had last.
    pub(in crate::simulator) fn restore_endpoints(&mut self, sidecar_index: SidecarIndex) {
        let cached = &self.sidecars[sidecar_index.index()].endpoints;
        let (version, entries) = (cached.version, cached.entries());
        self.deliver_endpoints(sidecar_index, UpdateKind::Cached, version, &entries);
    }

    /// Gives a balancer changes of the list.
    pub(in crate::simulator) fn update_endpoints(
        &mut self,
        sidecar_index: SidecarIndex,
        version: u64,
        changes: &[ListedEndpoint],
    ) {
        self.deliver_endpoints(sidecar_index, UpdateKind::Incremental, version, changes);
    }

    /// Tells a balancer that its list can no longer be followed.
    pub(in crate::simulator) fn on_endpoints_lost(&mut self, sidecar_index: SidecarIndex) {
        self.sidecars[sidecar_index.index()].watches = false;
        let lost = BalancerEvent::EndpointsUpdated {
            kind: UpdateKind::Lost,
            version: 0,
            endpoints: Vec::new(),
        };
        self.handle_balancer_event(sidecar_index, lost);
    }

    fn deliver_endpoints(
        &mut self,
        sidecar_index: SidecarIndex,
        kind: UpdateKind,
        version: u64,
        listed: &[ListedEndpoint],
    ) {
        let mut endpoints = Vec::with_capacity(listed.len());
        for &endpoint in listed {
            self.context.record(LogEvent::EndpointListed {
                sidecar: sidecar_index,
                server: endpoint.server,
                status: endpoint.status,
                incarnation: endpoint.incarnation,
            });
            let cached = &mut self.sidecars[sidecar_index.index()].endpoints;
            cached.on_listed(endpoint);
            endpoints.push(self.balancer_endpoint(endpoint));
        }
        self.sidecars[sidecar_index.index()].endpoints.version = version;
        let update = BalancerEvent::EndpointsUpdated {
            kind,
            version,
            endpoints,
        };
        self.handle_balancer_event(sidecar_index, update);
    }

    /// A list entry as balancers take it.
    fn balancer_endpoint(&self, listed: ListedEndpoint) -> Endpoint {
        let server = &self.servers[listed.server.index()];
        let incarnation = (listed.incarnation > 0).then_some(EPOCH + listed.incarnation);
        Endpoint {
            server: ServerId(listed.server.value()),
            stable_hash: stable_hash(&listed.server.to_string()),
            status: match listed.status {
                ListedStatus::Ready => EndpointStatus::Ready,
                ListedStatus::Draining => EndpointStatus::Draining,
                ListedStatus::Gone => EndpointStatus::Removed,
            },
            incarnation,
            zone: server.zone,
            cell: server.zone,
            machine_type: self
                .context
                .scenario()
                .advertised_machine_type(server.model.machine_type()),
        }
    }
}
