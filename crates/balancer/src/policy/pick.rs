//! Which server a request goes to.

use super::*;

impl Balancer {
    /// One of the servers; where they are not asked, each as often as its machine can do more than others.
    fn draw(&mut self, open: &[usize]) -> Option<usize> {
        if self.load_checks_enabled() {
            return self.rng.choice(open).copied();
        }
        let part = |&i: &usize| {
            let server = &self.servers[i];
            // A failure costs the whole request, so a server that fails gets less than what is left of it.
            server.endpoint.machine_type.cores * (1.0 - server.failure_rate).powi(3)
                / self.latency_factor(server)
        };
        let parts: Vec<f64> = open.iter().map(part).collect();
        let mut at = self.rng.f64() * parts.iter().sum::<f64>();
        let place = parts.iter().position(|part| {
            at -= part;
            at < 0.0
        });
        place.map_or_else(|| open.last(), |place| open.get(place)).copied()
    }

    /// What two drawn servers are compared by: where they are not asked, what is known to be out, against
    /// what the machine can do, as its share of the draws stands for the rest already.
    fn compared_load(&self, server: &ServerState) -> f64 {
        let load = self.load(server);
        if self.load_checks_enabled() || self.load_from_responses() {
            load
        } else {
            (load - self.relative_service_time(server)) / server.endpoint.machine_type.cores
        }
    }

    /// Two random servers of the open ones; the one with less in flight wins. Where servers were asked for
    /// their load, the draw is among those that said least since; one that said nothing is passed over.
    pub(super) fn pick(
        &mut self,
        reach: RetryScope,
        avoid: &[ServerId],
        asked: &[ServerId],
        since: Micros,
        id: RequestId,
    ) -> Option<usize> {
        let fresh = |&i: &usize| {
            let server = &self.servers[i];
            server.load_updated_at >= since && server.suspicion.is_none() && self.is_ready(server)
        };
        let mut open: Vec<usize> = asked.iter().filter_map(|&id| self.find(id)).filter(fresh).collect();
        let least = open.iter().map(|&i| self.load(&self.servers[i])).fold(f64::MAX, f64::min);
        // Where probes lie, a server that says it is idle is taken at its word, but no other for its silence.
        let unknown = if self.health_checks_unreliable() { 1.0 + self.utilization } else { f64::MAX };
        open.retain(|&i| self.load(&self.servers[i]) < unknown.min(least + 0.25));
        if open.is_empty() {
            open = self.candidates(reach, avoid, true);
        }
        if open.is_empty() {
            open = self.candidates(reach, avoid, false);
        }
        if self.load_from_responses() {
            // Guards against a refusal by two full servers while others have room.
            let fits: Vec<usize> = open.iter().copied().filter(|&i| !self.misses_objective(i, id)).collect();
            open = if fits.is_empty() { open } else { fits };
        }
        let (a, b) = (self.draw(&open)?, self.draw(&open)?);
        // A cold server looks idle to all at once: it is taken where drawn first, never for its low load.
        let cold = [a, b].iter().any(|&i| self.servers[i].cold_since.is_some());
        let compared_load = |i: usize| self.compared_load(&self.servers[i]);
        let less = !(cold && asked.is_empty()) && compared_load(b) < compared_load(a);
        Some(if less { b } else { a })
    }
}
