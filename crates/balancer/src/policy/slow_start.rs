//! Servers that have just started.

use crate::policy::Balancer;
use crate::state::ServerIndex;

impl Balancer {
    /// Guards against a cold server that all balancers together overload: it is admitted to a draw with the
    /// chance of its slow start factor. Nothing is saved up; together they send that factor times a warm
    /// server's quota. The draws hold that in the mean; the bound holds it within the overload window.
    pub(super) fn admit_to_draw(&mut self, server_index: ServerIndex) -> bool {
        let (now, window) = (
            self.fleet.now,
            self.fleet.settings.slow_start.overload_window,
        );
        let slow_start = &mut self.fleet.servers[server_index].slow_start;
        let factor = slow_start.factor(now, &self.fleet.settings);
        if factor >= 1.0 {
            slow_start.on_warmed_up();
            return true;
        }
        let sent = slow_start.work_sent_within(window, now);
        let quota = self.fleet.estimators.warm_server_quota.per_microsecond();
        let max_work =
            self.fleet.settings.slow_start.overload_factor * factor * quota * window as f64;
        (sent == 0.0 || sent < max_work) && self.rng.f64() < factor
    }
}
