//! State of one server, as known to this balancer.

use crate::estimators::failure_rate::FailureRecord;
use crate::estimators::latency::ServerLatency;
use crate::estimators::load::ServerLoad;
use crate::estimators::slow_start::SlowStartRecord;
use crate::policy::load_source::LoadSource;
use crate::state::gossip_record::{GossipKind, GossipRecord};
use crate::state::health_check_record::HealthCheckRecord;
use crate::state::suspicion::SuspicionRecord;
use crate::{Endpoint, EndpointStatus, Micros, RequestId, ServerId, Settings, SlowStartSettings};

/// An attempt in flight at a server.
pub(crate) struct InFlightAttempt {
    /// The request of the attempt.
    pub(crate) request: RequestId,
    /// Index of the attempt within its request.
    pub(crate) attempt: u32,
    /// When the attempt was sent.
    pub(crate) sent_at: Micros,
    /// Work of the request relative to an average request.
    pub(crate) relative_work: f64,
    /// Queue depth of the server when the attempt was sent.
    pub(crate) queue_depth: f64,
}

/// State of one server: its entry in the endpoint list, the attempts in flight, and a record for
/// each policy or estimator that tracks it.
pub(crate) struct ServerState {
    endpoint: Endpoint,
    listed_as_draining: bool,
    possibly_draining: bool,
    in_flight: Vec<InFlightAttempt>,
    /// Suspicion and past ejections.
    pub(crate) suspicion: SuspicionRecord,
    /// Health checks of the server.
    pub(crate) health_check: HealthCheckRecord,
    /// Failures and successes of its attempts.
    pub(crate) failures: FailureRecord,
    /// Load from other balancers.
    pub(crate) load: ServerLoad,
    /// Latency relative to the fleet.
    pub(crate) latency: ServerLatency,
    /// Slow start of the server.
    pub(crate) slow_start: SlowStartRecord,
}

impl ServerState {
    /// Creates the state of a server that is new in the endpoint list.
    pub(crate) fn new(endpoint: Endpoint, now: Micros, slow_start_duration: Micros) -> Self {
        let mut slow_start = SlowStartRecord::default();
        if let Some(started_at) = endpoint.incarnation {
            slow_start.on_started(started_at, now, slow_start_duration);
        }
        Self {
            endpoint,
            listed_as_draining: endpoint.status == EndpointStatus::Draining,
            possibly_draining: false,
            in_flight: Vec::new(),
            suspicion: SuspicionRecord::default(),
            health_check: HealthCheckRecord::default(),
            failures: FailureRecord::default(),
            load: ServerLoad::default(),
            latency: ServerLatency::new(endpoint.machine_type),
            slow_start,
        }
    }

    /// Returns the server's id.
    pub(crate) fn id(&self) -> ServerId {
        self.endpoint.server
    }

    /// Returns the entry in the endpoint list.
    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the time of the latest start, 0 if the server started long ago.
    pub(crate) fn incarnation(&self) -> Micros {
        self.endpoint.incarnation.unwrap_or(0)
    }

    /// Creates a gossip record about the current incarnation.
    pub(crate) fn gossip_record(&self, kind: GossipKind) -> GossipRecord {
        GossipRecord {
            kind,
            stable_hash: self.endpoint.stable_hash,
            incarnation: self.incarnation(),
        }
    }

    /// Returns true if the endpoint list has named the server as draining since its last start.
    pub(crate) fn is_listed_as_draining(&self) -> bool {
        self.listed_as_draining
    }

    /// Returns true if the server is suspected or may be draining.
    pub(crate) fn is_untrusted(&self) -> bool {
        self.suspicion.is_suspected() || self.possibly_draining
    }

    /// Returns true if the endpoint list no longer names the server.
    pub(crate) fn is_removed(&self) -> bool {
        self.endpoint.status == EndpointStatus::Removed
    }

    /// Returns this balancer's attempts in flight at the server.
    pub(crate) fn in_flight(&self) -> &[InFlightAttempt] {
        &self.in_flight
    }

    /// Returns true if the server's state is no longer needed: the endpoint list no longer names it
    /// and no attempts are in flight. If `allow_removed_servers` is set, a removed server may still
    /// be sent requests, so it is kept until it is dead or draining.
    pub(crate) fn is_obsolete(&self, settings: &Settings) -> bool {
        let may_be_tried =
            settings.allow_removed_servers && !self.suspicion.is_dead() && !self.listed_as_draining;
        self.is_removed() && self.in_flight.is_empty() && !may_be_tried
    }

    /// Updates the entry in the endpoint list; returns true if it shows that the server has
    /// restarted.
    pub(crate) fn on_listed(&mut self, endpoint: Endpoint) -> bool {
        let restarted = endpoint.incarnation.unwrap_or(0) > self.incarnation();
        let incarnation = if restarted {
            endpoint.incarnation
        } else {
            self.endpoint.incarnation
        };
        self.endpoint = Endpoint {
            incarnation,
            ..endpoint
        };
        restarted
    }

    /// Applies the listed status; a listed drain persists until the next restart.
    pub(crate) fn on_status_listed(&mut self, status: EndpointStatus) {
        self.listed_as_draining |= status == EndpointStatus::Draining;
    }

    /// Marks the server as removed because a full endpoint list does not name it.
    pub(crate) fn on_unlisted(&mut self) {
        self.endpoint.status = EndpointStatus::Removed;
    }

    /// Clears a possible drain, as a current endpoint list was received.
    pub(crate) fn on_endpoint_list_received(&mut self) {
        self.possibly_draining = false;
    }

    /// Resets drain and load, and begins slow start, after the endpoint list showed a restart.
    pub(crate) fn on_restarted(&mut self, now: Micros, slow_start_duration: Micros) {
        self.listed_as_draining = false;
        self.load.on_restarted();
        self.slow_start
            .on_started(self.incarnation(), now, slow_start_duration);
    }

    /// Records an attempt sent to the server.
    pub(crate) fn on_attempt_sent(
        &mut self,
        attempt: InFlightAttempt,
        slow_start: &SlowStartSettings,
    ) {
        self.slow_start.on_work_sent(
            attempt.relative_work,
            attempt.sent_at,
            slow_start.overload_window,
        );
        self.in_flight.push(attempt);
    }

    /// Removes an attempt that ended and returns it; `None` if it is unknown.
    pub(crate) fn on_attempt_ended(
        &mut self,
        request: RequestId,
        index: u32,
    ) -> Option<InFlightAttempt> {
        let matches = |other: &InFlightAttempt| other.request == request && other.attempt == index;
        let position = self.in_flight.iter().position(matches)?;
        Some(self.in_flight.swap_remove(position))
    }

    /// Records the requests in flight that the server reported; `source` tells how reports reach
    /// the balancer.
    pub(crate) fn on_load_report(&mut self, reported: f64, source: LoadSource, now: Micros) {
        let own = self.in_flight.len() as f64;
        match source {
            LoadSource::Responses => self.load.on_response_report(reported, own, now),
            LoadSource::LoadChecks | LoadSource::Unknown => {
                self.load.on_health_check_report(reported, own, now);
            }
        }
    }

    /// Records a rejected attempt that was sent at this queue depth.
    pub(crate) fn on_rejected(&mut self, queue_depth: f64, now: Micros) {
        self.load.on_rejected(queue_depth, now);
    }

    /// Marks the server as possibly draining: it rejected an attempt, and without a subscription
    /// the endpoint list may not show a drain.
    pub(crate) fn on_possible_drain(&mut self) {
        self.possibly_draining = true;
    }
}
