//! What a server holds, as far as its reports and own requests tell.

use super::*;

impl Balancer {
    pub(crate) fn take_report(&mut self, i: usize, report: Option<LoadReport>) {
        let server = &mut self.servers[i];
        // Guards against reports that are frozen or wrong: one that owns up to less than we know to be there.
        let known = server.own.iter().filter(|o| Some(o.sent) < server.probing).count() as f64;
        let sound = |h: &f64| h.is_finite() && *h >= 0.0 && *h + 0.5 >= known;
        let Some(held) = report.map(|r| r.held).filter(sound) else { return };
        (server.foreign, server.foreign_at) = ((held - server.own.len() as f64).max(0.0), self.now);
        self.busy += MEAN_WEIGHT * (held.min(1.0) - self.busy);
    }

    /// Requests in flight, own ones and what was last seen of others', in the time that this server takes.
    pub(crate) fn load(&self, server: &Server) -> f64 {
        let age = self.now.saturating_sub(server.foreign_at) as f64;
        let fresh = (1.0 - age / (2.0 * self.unit)).max(0.0);
        let own: f64 = server.own.iter().map(|o| o.size).sum();
        (own + server.foreign * fresh + 1.0) * self.slowness(server)
    }

    /// How much longer than the fleet a server takes for the same load. Where no reports tell the queue of a
    /// cold one, it is spared by how seldom it is drawn, and not twice over.
    pub(crate) fn slowness(&self, server: &Server) -> f64 {
        let warmth = if self.reports() { self.warmth(server) } else { 1.0 };
        self.pace(server) / warmth / (1.0 - server.failing)
    }
}
