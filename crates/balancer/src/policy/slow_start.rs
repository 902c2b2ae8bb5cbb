//! Servers that have just started.

use super::*;

impl Balancer {
    /// Guards against a cold server pushed over by all balancers together: it is admitted to a draw with the
    /// chance of its warmth. Nothing is saved up; together they send its warmth times a warm server's part.
    /// The draws hold that in the mean; within the span of the rule, the bound on what was sent holds it.
    pub(super) fn admit_to_draw(&mut self, i: usize) -> bool {
        let warmth = self.slow_start_factor(&self.servers[i]);
        let (now, span) = (self.now, self.settings.cold_overload_window);
        let server = &mut self.servers[i];
        if warmth >= 1.0 {
            server.cold_since = None;
            server.cold_sent.clear();
            return true;
        }
        while server.cold_sent.front().is_some_and(|&(at, _)| at + span < now) {
            server.cold_sent.pop_front();
        }
        let sent: f64 = server.cold_sent.iter().map(|&(_, size)| size).sum();
        let most = self.settings.cold_overload_factor * warmth * self.warm_server_quota * span as f64;
        (sent == 0.0 || sent < most) && self.rng.f64() < warmth
    }
}
