//! Servers that have just started.

use super::*;

impl Balancer {
    /// Share of its capacity that a server is assumed to have: from the cold share up to all of it.
    pub(crate) fn warmth(&self, server: &Server) -> f64 {
        let Some(since) = server.cold_since else { return 1.0 };
        let age = self.now.saturating_sub(since) as f64 / self.settings.cold_time.max(1) as f64;
        (self.settings.cold_share + (1.0 - self.settings.cold_share) * age).min(1.0)
    }

    /// Guards against a cold server pushed over by all balancers together: it is admitted to a draw with the
    /// chance of its warmth. Nothing is saved up; together they send its warmth times a warm server's part.
    pub(super) fn admits(&mut self, i: usize) -> bool {
        let warmth = self.warmth(&self.servers[i]);
        if warmth >= 1.0 {
            self.servers[i].cold_since = None;
        }
        warmth >= 1.0 || self.rng.f64() < warmth
    }
}
