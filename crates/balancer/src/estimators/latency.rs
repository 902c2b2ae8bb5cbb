//! How long servers take, against each other and by kind of machine.

use super::*;

/// Weight of a new sample in the moving means, and in the pace of one server, which sees fewer.
pub(crate) const FLEET_WEIGHT: f64 = 0.05;
pub(crate) const SERVER_WEIGHT: f64 = 0.15;
/// A pace is forgotten by half in this time: neighbours come and go in seconds.
pub(crate) const LATENCY_FACTOR_HALF_LIFE: f64 = 3_000_000.0;

impl Balancer {
    pub(crate) fn latency_factor(&self, server: &ServerState) -> f64 {
        let usual = self.machine_latency_factor(server);
        usual
            + (server.latency_factor - usual)
                * self.decay(server.latency_factor_updated_at, LATENCY_FACTOR_HALF_LIFE)
    }

    /// The pace of a server's kind. Guards against learning that comes too late where a balancer sends each
    /// server next to nothing: what one server shows tells of all machines like it. Servers that are asked
    /// before a send speak for themselves.
    fn machine_latency_factor(&self, server: &ServerState) -> f64 {
        let machine = server.endpoint.machine_type;
        if self.load_checks_enabled() {
            return 1.0;
        }
        self.latency_by_machine_type.get(&machine.id).copied().unwrap_or(1.0 / machine.speed)
    }

    /// Moves the latencies of the fleet, and the pace of the server against them.
    pub(crate) fn record_latency(&mut self, i: usize, elapsed: f64, own: &InFlightAttempt) {
        if let Some(request) = self.requests.get(&own.request) {
            self.record_latency_share((elapsed / (request.objective_at - request.arrived) as f64).min(1.0));
        }
        let unit = if self.load_from_responses() {
            // What it held on the way stands between what it held at both ends, and a cold one is not slow.
            let held = (own.queue_depth + self.queue_depth(&self.servers[i])) / 2.0;
            elapsed * self.slow_start_factor(&self.servers[i]) / (held * own.relative_work).max(0.05)
        } else {
            elapsed / (own.queue_depth - 1.0 + own.relative_work).max(0.2)
        };
        let pace = (unit / self.mean_service_time).clamp(0.25, 4.0);
        let old = self.latency_factor(&self.servers[i]);
        let server = &mut self.servers[i];
        (server.latency_factor, server.latency_factor_updated_at) =
            (old + SERVER_WEIGHT * (pace - old), self.now);
        let (machine, usual) =
            (self.servers[i].endpoint.machine_type, self.machine_latency_factor(&self.servers[i]));
        self.latency_by_machine_type.insert(machine.id, usual + FLEET_WEIGHT * (pace - usual));
        self.mean_service_time +=
            FLEET_WEIGHT * (unit.min(4.0 * self.mean_service_time) - self.mean_service_time);
        let off = elapsed.max(1.0).ln() - self.log_latency_mean;
        self.log_latency_mean += FLEET_WEIGHT * off;
        self.log_latency_variance =
            (self.log_latency_variance + FLEET_WEIGHT * (off * off - self.log_latency_variance)).max(0.1);
    }

    /// Worth for the work of a request, against that of a usual one: in a full fleet what earns little for
    /// its work must not fill the queues that what earns more would still have passed in time.
    pub(crate) fn value_density(&self, request: &RequestState) -> f64 {
        if self.mean_work == 0.0 {
            return 1.0;
        }
        let work = if self.settings.weight_by_work { 1.0 } else { request.relative_work };
        self.class(request).priority_weight / work / self.mean_priority_weight.max(f64::MIN_POSITIVE)
    }
}
