//! What servers that have just started can do, and what a warm one gets.

use super::*;

/// A warm server's part is measured anew while at least this share of the servers' capacity is there: what all
/// send to the few that are warm in a release says little of one server's usual part.
const MIN_WARM_SHARE: f64 = 0.7;

impl Balancer {
    /// Share of its capacity that a server is assumed to have: from the cold share up to all of it.
    pub(crate) fn slow_start_factor(&self, server: &ServerState) -> f64 {
        let Some(since) = server.cold_since else { return 1.0 };
        let age = self.now.saturating_sub(since) as f64 / self.settings.slow_start_time.max(1) as f64;
        (self.settings.cold_capacity_share + (1.0 - self.settings.cold_capacity_share) * age).min(1.0)
    }

    /// What a warm server gets of the work that this balancer sends, as size a microsecond.
    pub(crate) fn update_warm_server_quota(&mut self) {
        let part = self
            .subset_order
            .iter()
            .map(|&i| &self.servers[i])
            .filter(|s| self.is_ready(s))
            .take(self.subset_size());
        let (count, warm) = part.fold((0.0, 0.0), |(n, warm), s| (n + 1.0, warm + self.slow_start_factor(s)));
        if warm > MIN_WARM_SHARE * count {
            self.warm_server_quota = self.work_rate.get(self.now, REQUEST_RATE_HALF_LIFE) / warm;
        }
    }
}
