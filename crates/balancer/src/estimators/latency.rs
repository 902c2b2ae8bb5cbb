//! How long servers take, against each other and by kind of machine.

use super::*;

/// Weight of a new sample in the moving means, and in the pace of one server, which sees fewer.
pub(crate) const MEAN_WEIGHT: f64 = 0.05;
pub(crate) const PACE_WEIGHT: f64 = 0.15;
/// A pace is forgotten by half in this time: neighbours come and go in seconds.
pub(crate) const PACE_HALF: f64 = 3_000_000.0;

impl Balancer {
    pub(crate) fn pace(&self, server: &Server) -> f64 {
        let usual = self.usual(server);
        usual + (server.pace - usual) * self.fade(server.pace_at, PACE_HALF)
    }

    /// The pace of a server's kind. Guards against learning that comes too late where a balancer sends each
    /// server next to nothing: what one server shows tells of all machines like it. Servers that are asked
    /// before a send speak for themselves.
    fn usual(&self, server: &Server) -> f64 {
        let machine = server.member.machine_type;
        if self.looks() {
            return 1.0;
        }
        self.kinds.get(&machine.id).copied().unwrap_or(1.0 / machine.speed)
    }

    /// Moves the latencies of the fleet, and the pace of the server against them.
    pub(crate) fn learn_latency(&mut self, i: usize, elapsed: f64, own: &Outstanding) {
        if let Some(request) = self.requests.get(&own.request) {
            self.feel((elapsed / (request.aim - request.arrived) as f64).min(1.0));
        }
        let unit = if self.by_answers() {
            // What it held on the way stands between what it held at both ends, and a cold one is not slow.
            let held = (own.load + self.crowd(&self.servers[i])) / 2.0;
            elapsed * self.warmth(&self.servers[i]) / (held * own.size).max(0.05)
        } else {
            elapsed / (own.load - 1.0 + own.size).max(0.2)
        };
        let pace = (unit / self.unit).clamp(0.25, 4.0);
        let old = self.pace(&self.servers[i]);
        let server = &mut self.servers[i];
        (server.pace, server.pace_at) = (old + PACE_WEIGHT * (pace - old), self.now);
        let (machine, usual) = (self.servers[i].member.machine_type, self.usual(&self.servers[i]));
        self.kinds.insert(machine.id, usual + MEAN_WEIGHT * (pace - usual));
        self.unit += MEAN_WEIGHT * (unit.min(4.0 * self.unit) - self.unit);
        let off = elapsed.max(1.0).ln() - self.log_mean;
        self.log_mean += MEAN_WEIGHT * off;
        self.log_var = (self.log_var + MEAN_WEIGHT * (off * off - self.log_var)).max(0.1);
    }

    /// Worth for the work of a request, against that of a usual one: in a full fleet what earns little for
    /// its work must not fill the queues that what earns more would still have passed in time.
    pub(crate) fn gain(&self, request: &Request) -> f64 {
        if self.mean_size == 0.0 {
            return 1.0;
        }
        let work = if self.settings.weight_by_work { 1.0 } else { request.size };
        self.class(request).priority_weight / work / self.mean_worth.max(f64::MIN_POSITIVE)
    }
}
