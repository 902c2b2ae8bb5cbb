//! What servers that have just started can do, and what a warm one gets.

use super::*;

/// A warm server's part is measured anew while at least this share of the servers' capacity is there: what all
/// send to the few that are warm in a release says little of one server's usual part.
const PART_KNOWN: f64 = 0.7;

impl Balancer {
    /// Share of its capacity that a server is assumed to have: from the cold share up to all of it.
    pub(crate) fn warmth(&self, server: &Server) -> f64 {
        let Some(since) = server.cold_since else { return 1.0 };
        let age = self.now.saturating_sub(since) as f64 / self.settings.slow_start_time.max(1) as f64;
        (self.settings.cold_capacity_share + (1.0 - self.settings.cold_capacity_share) * age).min(1.0)
    }

    /// What a warm server gets of the work that this balancer sends, as size a microsecond.
    pub(crate) fn measure_part(&mut self) {
        let part =
            self.order.iter().map(|&i| &self.servers[i]).filter(|s| self.is_ready(s)).take(self.subset());
        let (count, warm) = part.fold((0.0, 0.0), |(n, warm), s| (n + 1.0, warm + self.warmth(s)));
        if warm > PART_KNOWN * count {
            self.part = self.work.get(self.now, TRAFFIC_HALF) / warm;
        }
    }
}
