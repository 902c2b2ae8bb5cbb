//! A sidecar's copy of the endpoint list, and the delivery of its changes to the balancer.
//!
//! Polls and watches the list of `discovery`, and caches it across restarts of the sidecar.

use std::collections::BTreeMap;

use arrowstand_balancer::{Endpoint, EndpointStatus, Event as BalancerEvent, ServerId, UpdateKind};
use arrowstand_control::stable_hash;

use super::components::Components;
use super::sidecar::Sidecar;
use crate::event_log::{ListedStatus, LogEvent};
use crate::index::ServerIndex;
use crate::scenario::{Micros, Scenario};
use crate::simulator::EPOCH;
use crate::simulator::context::Context;
use crate::simulator::discovery::{Discovery, ListedEndpoint};
use crate::simulator::event::{EndpointPoll, PollResult, SimulatorEvent};
use crate::simulator::fleet::Fleet;

/// The last endpoint list that a sidecar received, which survives its restarts.
pub(super) struct CachedEndpoints {
    revision: u64,
    endpoints: BTreeMap<ServerIndex, ListedEndpoint>,
}

impl CachedEndpoints {
    /// Copies the current list of the discovery service.
    pub(super) fn new(discovery: &Discovery) -> Self {
        let current = discovery.current_endpoints();
        Self {
            revision: discovery.revision(),
            endpoints: current
                .map(|endpoint| (endpoint.server, endpoint))
                .collect(),
        }
    }

    fn apply(&mut self, endpoint: ListedEndpoint) {
        if endpoint.status == ListedStatus::Gone {
            self.endpoints.remove(&endpoint.server);
        } else {
            self.endpoints.insert(endpoint.server, endpoint);
        }
    }
}

/// A sidecar's client state for the discovery service.
pub(super) struct Subscription {
    cached: CachedEndpoints,
    /// Whether the sidecar watches the list.
    is_watching: bool,
    /// Number of polls so far; results of all but the last are ignored.
    poll_count: u32,
}

impl Subscription {
    /// Creates the state of a sidecar that has only a cached list.
    pub(super) fn new(cached: CachedEndpoints) -> Self {
        Self {
            cached,
            is_watching: false,
            poll_count: 0,
        }
    }

    /// Records that the sidecar no longer watches the list.
    pub(super) fn on_watch_ended(&mut self) {
        self.is_watching = false;
    }

    /// Ends the watch and returns the number of the new poll.
    fn on_poll_started(&mut self) -> u32 {
        self.is_watching = false;
        self.poll_count += 1;
        self.poll_count
    }
}

impl Sidecar {
    /// Whether the sidecar watches the list.
    pub(super) fn is_watching(&self) -> bool {
        self.subscription.is_watching
    }

    /// Whether a poll is the latest one of the running process. The results of other polls, and the
    /// ends of the watches that followed them, are ignored.
    pub(super) fn awaits_poll(&self, poll: EndpointPoll) -> bool {
        self.is_process_running(poll.process) && self.subscription.poll_count == poll.number
    }

    /// Polls the list; a watch follows once the poll is answered.
    pub(super) fn poll_endpoints(&mut self, components: &mut Components<'_, '_>) {
        let sidecar = self.index;
        components
            .context
            .record(LogEvent::DiscoveryPolled { sidecar });
        let poll = EndpointPoll {
            process: self.process(),
            number: self.subscription.on_poll_started(),
        };
        components.discovery.on_poll(poll, components.context);
    }

    /// Handles the result of the last poll: applies the changes and starts the watch, or tells the
    /// balancer that the poll has failed.
    pub(super) fn on_poll_result(&mut self, failed: bool, components: &mut Components<'_, '_>) {
        if failed || !components.discovery.is_up() {
            self.on_endpoints_lost(components);
        } else {
            self.subscription.is_watching = true;
            self.apply_changes(components);
        }
    }

    /// Handles a notification of a change of the list.
    pub(super) fn on_watch_notification(&mut self, components: &mut Components<'_, '_>) {
        let discovery = &*components.discovery;
        let has_changes = self.subscription.cached.revision < discovery.revision();
        if self.subscription.is_watching && discovery.is_up() && has_changes {
            self.apply_changes(components);
        }
    }

    /// Ends the watch from discovery's side, which the sidecar detects after a delay.
    pub(super) fn end_watch(&mut self, detection_delay: Micros, context: &mut Context<'_>) {
        if std::mem::take(&mut self.subscription.is_watching) {
            let poll = EndpointPoll {
                process: self.process(),
                number: self.subscription.poll_count,
            };
            let result = PollResult { poll, failed: true };
            context.schedule_after(detection_delay, SimulatorEvent::PollResult(result));
        }
    }

    /// Delivers the cached list to a new balancer.
    pub(super) fn restore_endpoints(&mut self, components: &mut Components<'_, '_>) {
        let cached = &self.subscription.cached;
        let revision = cached.revision;
        let entries: Vec<_> = cached.endpoints.values().copied().collect();
        self.deliver_endpoints(UpdateKind::Cached, revision, &entries, components);
    }

    /// Applies all changes since the revision of the cached list; there may be none.
    fn apply_changes(&mut self, components: &mut Components<'_, '_>) {
        let discovery = &*components.discovery;
        let revision = discovery.revision();
        let changes = discovery.changes_since(self.subscription.cached.revision);
        self.deliver_endpoints(UpdateKind::Incremental, revision, &changes, components);
    }

    /// Tells the balancer that updates of the endpoint list have stopped.
    fn on_endpoints_lost(&mut self, components: &mut Components<'_, '_>) {
        self.subscription.on_watch_ended();
        let lost = BalancerEvent::EndpointsUpdated {
            kind: UpdateKind::Lost,
            version: 0,
            endpoints: Vec::new(),
        };
        self.handle_balancer_event(lost, components);
    }

    fn deliver_endpoints(
        &mut self,
        kind: UpdateKind,
        revision: u64,
        listed: &[ListedEndpoint],
        components: &mut Components<'_, '_>,
    ) {
        let scenario = components.context.scenario();
        let mut endpoints = Vec::with_capacity(listed.len());
        for &endpoint in listed {
            components.context.record(LogEvent::EndpointListed {
                sidecar: self.index,
                server: endpoint.server,
                status: endpoint.status,
                incarnation: endpoint.incarnation,
            });
            self.subscription.cached.apply(endpoint);
            endpoints.push(balancer_endpoint(endpoint, components.fleet, scenario));
        }
        self.subscription.cached.revision = revision;
        let update = BalancerEvent::EndpointsUpdated {
            kind,
            version: revision,
            endpoints,
        };
        self.handle_balancer_event(update, components);
    }
}

/// Converts a list entry to the balancer's type.
fn balancer_endpoint(listed: ListedEndpoint, fleet: &Fleet, scenario: &Scenario) -> Endpoint {
    let zone = fleet.zone(listed.server);
    let machine_type = fleet.machine_type(listed.server);
    Endpoint {
        server: ServerId(listed.server.value()),
        stable_hash: stable_hash(&listed.server.to_string()),
        status: match listed.status {
            ListedStatus::Ready => EndpointStatus::Ready,
            ListedStatus::Draining => EndpointStatus::Draining,
            ListedStatus::Gone => EndpointStatus::Removed,
        },
        incarnation: (listed.incarnation > 0).then_some(EPOCH + listed.incarnation),
        zone,
        cell: zone,
        machine_type: scenario.advertised_machine_type(machine_type),
    }
}
