//! What a server holds, as far as its reports and own requests tell.

use super::*;

/// Reports that come with answers were taken some hundred milliseconds before, and what came and went since is
/// unknown: only a mean over many of them tells what others have at a server.
const REPORT_MEAN_HALF_LIFE: f64 = 3_000_000.0;
/// What others have at a server is forgotten by half in this time.
const ELSEWHERE_HALF_LIFE: f64 = 4_000_000.0;
/// A fleet of which more than this share is busy is full.
const FULL_UTILIZATION: f64 = 0.8;

impl Balancer {
    /// True where answers tell of load and nobody asks before a send.
    pub(crate) fn load_from_responses(&self) -> bool {
        self.settings.load_reports_in_responses && !self.load_checks_enabled()
    }

    pub(crate) fn on_load_report(&mut self, i: usize, report: Option<LoadReport>) {
        let load_from_responses = self.load_from_responses();
        let (now, server) = (self.now, &mut self.servers[i]);
        // Guards against reports that are frozen or wrong: one that owns up to less than we know to be there.
        let known =
            server.in_flight.iter().filter(|o| Some(o.sent) < server.health_check_started_at).count() as f64;
        let sound = |h: &f64| h.is_finite() && *h >= 0.0 && (load_from_responses || *h + 0.5 >= known);
        let Some(held) = report.map(|r| r.in_flight).filter(sound) else { return };
        let own = server.in_flight.len() as f64;
        if load_from_responses {
            // Guards against old reports set against own requests of now: means are compared over the same time.
            let weight =
                1.0 - 0.5_f64.powf(now.saturating_sub(server.load_updated_at) as f64 / REPORT_MEAN_HALF_LIFE);
            server.reported_in_flight += weight * (held - server.reported_in_flight);
            server.own_in_flight += weight * (own - server.own_in_flight);
            server.in_flight_elsewhere = (server.reported_in_flight - server.own_in_flight).max(0.0);
        } else {
            server.in_flight_elsewhere = (held - own).max(0.0);
        }
        server.load_updated_at = now;
        self.utilization += FLEET_WEIGHT * (held.min(1.0) - self.utilization);
    }

    /// Requests at a server with one more: own ones and what was last seen of others'.
    pub(crate) fn queue_depth(&self, server: &ServerState) -> f64 {
        if self.load_from_responses() {
            let foreign =
                server.in_flight_elsewhere * self.decay(server.load_updated_at, ELSEWHERE_HALF_LIFE);
            return server.in_flight.len() as f64 + foreign + 1.0;
        }
        let age = self.now.saturating_sub(server.load_updated_at) as f64;
        let fresh = (1.0 - age / (2.0 * self.mean_service_time)).max(0.0);
        let own: f64 = server.in_flight.iter().map(|o| o.relative_work).sum();
        own + server.in_flight_elsewhere * fresh + 1.0
    }

    /// Requests in flight, in the time that this server takes.
    pub(crate) fn load(&self, server: &ServerState) -> f64 {
        self.queue_depth(server) * self.relative_service_time(server)
    }

    /// Time that a server is expected to take for one more request. Where several run at a time each slows all
    /// others, so what a server holds multiplies the request's own work.
    pub(crate) fn expected_service_time(&self, server: &ServerState, size: f64) -> f64 {
        if self.load_from_responses() {
            return self.load(server) * size * self.mean_service_time;
        }
        (self.load(server) + (size - 1.0) * self.relative_service_time(server)) * self.mean_service_time
    }

    /// How much longer than the fleet a server takes for the same load. Where nothing tells the queue of a
    /// cold one, it is spared by how seldom it is drawn, and not twice over.
    pub(crate) fn relative_service_time(&self, server: &ServerState) -> f64 {
        let told = self.load_reports_trusted() || self.load_from_responses();
        let warmth = if told { self.slow_start_factor(server) } else { 1.0 };
        self.latency_factor(server) / warmth / (1.0 - server.failure_rate)
    }

    /// From 0 to 1 as the fleet fills up.
    pub(crate) fn strictness(&self) -> f64 {
        ((self.utilization - FULL_UTILIZATION) / (1.0 - FULL_UTILIZATION)).clamp(0.0, 1.0)
    }

    /// Guards against an estimate that refuses all and so is never corrected: what is idle takes a request. A cold
    /// one does not, as one large request may be all that it bears; those like it correct its estimate.
    pub(crate) fn has_queue(&self, server: &ServerState) -> bool {
        server.cold_since.is_some() || self.queue_depth(server) >= 1.5
    }
}
