//! A server as this balancer knows it.

use crate::estimators::failure_rate::FailureRecord;
use crate::estimators::latency::ServerLatency;
use crate::estimators::load::ServerLoad;
use crate::estimators::slow_start::SlowStartRecord;
use crate::policy::load_source::LoadSource;
use crate::state::gossip_message::{GossipKind, GossipMessage};
use crate::state::health_check_record::HealthCheckRecord;
use crate::state::suspicion::SuspicionRecord;
use crate::{Endpoint, EndpointStatus, Micros, RequestId, ServerId, Settings, SlowStartSettings};

/// An attempt without an end.
pub(crate) struct InFlightAttempt {
    /// The request.
    pub(crate) request: RequestId,
    /// Number of the attempt.
    pub(crate) attempt: u32,
    /// When it was sent.
    pub(crate) sent_at: Micros,
    /// Its work against that of a usual request.
    pub(crate) relative_work: f64,
    /// The server's queue depth when it was sent.
    pub(crate) queue_depth: f64,
}

/// A server as this balancer knows it: its line of the endpoint list, attempts in flight, and a
/// record for each policy or estimator that watches it.
pub(crate) struct ServerState {
    endpoint: Endpoint,
    drain_listed: bool,
    possibly_draining: bool,
    in_flight: Vec<InFlightAttempt>,
    /// Whether it is suspected.
    pub(crate) suspicion: SuspicionRecord,
    /// Its health checks.
    pub(crate) health_check: HealthCheckRecord,
    /// Failures and successes of its attempts.
    pub(crate) failures: FailureRecord,
    /// What is known of its load.
    pub(crate) load: ServerLoad,
    /// How its latency compares with others'.
    pub(crate) latency: ServerLatency,
    /// Its slow start.
    pub(crate) slow_start: SlowStartRecord,
}

impl ServerState {
    /// A server that the endpoint list names for the first time.
    pub(crate) fn new(endpoint: Endpoint, now: Micros, slow_start_time: Micros) -> Self {
        let mut slow_start = SlowStartRecord::default();
        if let Some(started_at) = endpoint.incarnation {
            slow_start.on_started(started_at, now, slow_start_time);
        }
        Self {
            endpoint,
            drain_listed: endpoint.status == EndpointStatus::Draining,
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

    /// Its number.
    pub(crate) fn id(&self) -> ServerId {
        self.endpoint.server
    }

    /// Its entry of the endpoint list.
    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Its latest start, 0 for long ago.
    pub(crate) fn incarnation(&self) -> Micros {
        self.endpoint.incarnation.unwrap_or(0)
    }

    /// A gossip message about its current incarnation.
    pub(crate) fn gossip(&self, kind: GossipKind) -> GossipMessage {
        GossipMessage {
            kind,
            stable_hash: self.endpoint.stable_hash,
            incarnation: self.incarnation(),
        }
    }

    /// Listed as draining since its last start.
    pub(crate) fn is_drain_listed(&self) -> bool {
        self.drain_listed
    }

    /// It is suspected, or may be draining.
    pub(crate) fn is_untrusted(&self) -> bool {
        self.suspicion.is_suspected() || self.possibly_draining
    }

    /// True where the endpoint list no longer names it.
    pub(crate) fn is_removed(&self) -> bool {
        self.endpoint.status == EndpointStatus::Removed
    }

    /// This balancer's attempts at it without an end.
    pub(crate) fn in_flight(&self) -> &[InFlightAttempt] {
        &self.in_flight
    }

    /// True where nothing is left to be known of it: the endpoint list no longer names it and its
    /// attempts have ended. Where only draining binds it is kept until it is dead or drains.
    pub(crate) fn is_gone(&self, settings: &Settings) -> bool {
        let may_be_tried =
            settings.allow_removed_servers && !self.suspicion.is_dead() && !self.drain_listed;
        self.is_removed() && self.in_flight.is_empty() && !may_be_tried
    }

    /// The endpoint list names it again; true where it has restarted since.
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

    /// Keeps a listed drain until the next restart.
    pub(crate) fn on_status_listed(&mut self, status: EndpointStatus) {
        self.drain_listed |= status == EndpointStatus::Draining;
    }

    /// A full endpoint list does not name it.
    pub(crate) fn on_unlisted(&mut self) {
        self.endpoint.status = EndpointStatus::Removed;
    }

    /// The endpoint list can be trusted again.
    pub(crate) fn on_endpoint_list_received(&mut self) {
        self.possibly_draining = false;
    }

    /// It has restarted, as the endpoint list says.
    pub(crate) fn on_restarted(&mut self, now: Micros, slow_start_time: Micros) {
        self.drain_listed = false;
        self.load.on_restarted();
        self.slow_start
            .on_started(self.incarnation(), now, slow_start_time);
    }

    /// An attempt was sent to it.
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

    /// An attempt ended; returns what was recorded of it, `None` where it is unknown.
    pub(crate) fn on_attempt_ended(
        &mut self,
        request: RequestId,
        number: u32,
    ) -> Option<InFlightAttempt> {
        let same = |other: &InFlightAttempt| other.request == request && other.attempt == number;
        let position = self.in_flight.iter().position(same)?;
        Some(self.in_flight.swap_remove(position))
    }

    /// It reported the requests that it holds, by what the deployment goes by.
    pub(crate) fn on_load_report(&mut self, reported: f64, source: LoadSource, now: Micros) {
        let own = self.in_flight.len() as f64;
        match source {
            LoadSource::Responses => self.load.on_response_report(reported, own, now),
            LoadSource::LoadChecks | LoadSource::Unknown => {
                self.load.on_health_check_report(reported, own, now);
            }
        }
    }

    /// It rejected an attempt that was sent at this queue depth.
    pub(crate) fn on_rejected(&mut self, queue_depth: f64, now: Micros) {
        self.load.on_rejected(queue_depth, now);
    }

    /// It rejected an attempt while no endpoint list could tell whether it drains.
    pub(crate) fn on_possible_drain(&mut self) {
        self.possibly_draining = true;
    }
}
