//! The endpoint list at a sidecar: what it knows of it, and how its balancer learns of changes.

use std::collections::BTreeMap;

use arrowstand_balancer::{Endpoint, EndpointStatus, Event as BalancerEvent, ServerId, UpdateKind};
use arrowstand_control::stable_hash;

use super::Sidecar;
use crate::event_log::{ListedStatus, LogEvent};
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::Micros;
use crate::simulator::discovery::{Availability, ListedEndpoint};
use crate::simulator::event::{EndpointPoll, PollResult, SimulatorEvent};
use crate::simulator::process::SidecarProcess;
use crate::simulator::{EPOCH, Simulator};

/// The list as a sidecar had it last, which outlives its process.
pub(in crate::simulator) struct CachedEndpoints {
    version: u64,
    endpoints: BTreeMap<ServerIndex, (ListedStatus, Micros)>,
}

impl CachedEndpoints {
    pub(in crate::simulator) fn new(
        version: u64,
        present: impl Iterator<Item = ListedEndpoint>,
    ) -> Self {
        let entry = |e: ListedEndpoint| (e.server, (e.status, e.incarnation));
        Self {
            version,
            endpoints: present.map(entry).collect(),
        }
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
    pub(in crate::simulator) fn on_list_change(&mut self, endpoint: ListedEndpoint) {
        let started_at = self.fleet.started_at(endpoint.server);
        let watching = watching(&self.sidecars);
        self.discovery
            .on_list_change(endpoint, started_at, watching, &mut self.context);
    }

    /// A sidecar polls the list, and watches it from then on.
    pub(super) fn poll_endpoints(&mut self, sidecar_index: SidecarIndex) {
        self.context.record(LogEvent::DiscoveryPolled {
            sidecar: sidecar_index,
        });
        let poll = EndpointPoll {
            process: self.process(sidecar_index),
            number: self.sidecars[sidecar_index.index()].on_poll_started(),
        };
        self.discovery.on_poll(poll, &mut self.context);
    }

    pub(in crate::simulator) fn on_poll_result(&mut self, result: &PollResult) {
        let process = result.poll.process;
        let sidecar = &self.sidecars[process.sidecar.index()];
        let is_awaited = sidecar.polls == result.poll.number;
        if !is_awaited || !self.is_running(process) {
            return;
        }
        if result.lost || !self.discovery.is_up() {
            self.on_endpoints_lost(process.sidecar);
            return;
        }
        self.sidecars[process.sidecar.index()].watches = true;
        self.send_changes(process.sidecar);
    }

    /// A change has reached a watch.
    pub(in crate::simulator) fn on_watch_notification(&mut self, process: SidecarProcess) {
        let sidecar = &self.sidecars[process.sidecar.index()];
        let is_news = sidecar.endpoints.version < self.discovery.version();
        if self.is_current(process) && sidecar.watches && self.discovery.is_up() && is_news {
            self.send_changes(process.sidecar);
        }
    }

    /// Gives a sidecar what has changed since its list, which may be nothing.
    fn send_changes(&mut self, sidecar_index: SidecarIndex) {
        let cached = self.sidecars[sidecar_index.index()].endpoints.version;
        let version = self.discovery.version();
        let changes = self.discovery.changes_since(cached);
        self.deliver_endpoints(sidecar_index, UpdateKind::Incremental, version, &changes);
    }

    /// Discovery goes down or silent, or comes back.
    pub(in crate::simulator) fn on_discovery_fault(&mut self, availability: Availability) {
        let now = self.context.now();
        let ended = self.discovery.on_availability_changed(availability, now);
        if let Some(noticed_after) = ended {
            self.end_watches(noticed_after);
        }
    }

    /// All watches end, which sidecars notice after a span.
    fn end_watches(&mut self, noticed_after: Micros) {
        for sidecar_index in SidecarIndex::all(self.sidecars.len()) {
            let process = self.process(sidecar_index);
            let sidecar = &mut self.sidecars[sidecar_index.index()];
            if std::mem::take(&mut sidecar.watches) {
                let number = sidecar.polls;
                let poll = EndpointPoll { process, number };
                let result = PollResult { poll, lost: true };
                self.context
                    .after(noticed_after, SimulatorEvent::PollResult(result));
            }
        }
    }

    /// Gives a new balancer the list that its sidecar had last.
    pub(in crate::simulator) fn restore_endpoints(&mut self, sidecar_index: SidecarIndex) {
        let cached = &self.sidecars[sidecar_index.index()].endpoints;
        let (version, entries) = (cached.version, cached.entries());
        self.deliver_endpoints(sidecar_index, UpdateKind::Cached, version, &entries);
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
        let zone = self.fleet.zone(listed.server);
        let machine_type = self.fleet.machine_type(listed.server);
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
            zone,
            cell: zone,
            machine_type: self
                .context
                .scenario()
                .advertised_machine_type(machine_type),
        }
    }
}

/// The processes that watch the list.
fn watching(sidecars: &[Sidecar]) -> impl Iterator<Item = SidecarProcess> {
    let numbered = SidecarIndex::all(sidecars.len()).zip(sidecars);
    numbered
        .filter(|(_, sidecar)| sidecar.watches)
        .map(|(index, sidecar)| SidecarProcess {
            sidecar: index,
            incarnation: sidecar.incarnation,
        })
}
