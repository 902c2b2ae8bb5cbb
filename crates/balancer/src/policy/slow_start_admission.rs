//! Whether a server in slow start takes part in a draw.
//!
//! A server that has just started has only a share of its capacity, its slow start factor `f`, and
//! looks idle to all balancers at once. So it takes part in a draw with the probability `f`; all
//! balancers together then send it `f` times what a warm server gets, in the mean, without knowing
//! of each other. A bound holds within each overload window as well, whatever the draws:
//!
//! ```text
//! admit if  (nothing sent in the window  or  work sent < overload factor * f * quota * window)
//!           and  random < f
//! ```
//!
//! The quota is what a warm server of the subset gets from this balancer. Nothing is saved up.

#[cfg(test)]
mod tests;

use crate::estimators::slow_start::WarmServerQuota;
use crate::fleet::Fleet;
use crate::state::{ServerIndex, ServerState};

/// Whether a server takes part in a draw, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It has its full capacity: slow start ends, if there was one.
    Warm,
    /// It is in slow start, and takes part this time.
    Admitted,
    /// It has got as much work within the overload window as it may.
    OverQuota,
    /// It is in slow start, and chance leaves it out this time.
    SkippedAtRandom,
}

/// Admits servers to draws; owns the measure of what a warm server gets.
pub(crate) struct SlowStartAdmission {
    warm_server_quota: WarmServerQuota,
}

impl SlowStartAdmission {
    /// An admission that has seen no work.
    pub(crate) fn new() -> Self {
        Self {
            warm_server_quota: WarmServerQuota::new(),
        }
    }

    /// Decides about one server. Draws a random number where the server is in slow start and below
    /// its bound.
    pub(crate) fn admit(
        &self,
        fleet: &Fleet,
        server: &ServerState,
        rng: &mut fastrand::Rng,
    ) -> Admission {
        let factor = server.slow_start.factor(fleet.now, &fleet.settings);
        if factor >= 1.0 {
            return Admission::Warm;
        }
        let window = fleet.settings.slow_start.overload_window;
        let sent = server.slow_start.work_sent_within(window, fleet.now);
        let quota = self.warm_server_quota.per_microsecond();
        let max_work = fleet.settings.slow_start.overload_factor * factor * quota * window as f64;
        let is_below_limit = sent == 0.0 || sent < max_work;
        if !is_below_limit {
            return Admission::OverQuota;
        }
        if rng.f64() < factor {
            Admission::Admitted
        } else {
            Admission::SkippedAtRandom
        }
    }

    /// Work was sent to some server; `relative_work` is against that of a usual request.
    pub(crate) fn on_work_sent(&mut self, fleet: &Fleet, relative_work: f64) {
        self.warm_server_quota
            .on_work_sent(relative_work, fleet.now);
    }

    /// Measures what a warm server gets; `subset` are the servers in use.
    pub(crate) fn on_tick(&mut self, fleet: &Fleet, subset: impl Iterator<Item = ServerIndex>) {
        let factor = |index: ServerIndex| {
            let slow_start = &fleet.servers[index].slow_start;
            slow_start.factor(fleet.now, &fleet.settings)
        };
        self.warm_server_quota.update(subset.map(factor), fleet.now);
    }
}
