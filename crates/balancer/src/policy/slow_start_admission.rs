//! Admission of servers in slow start to the candidates of server selection.
//!
//! A server that has just started has only a fraction of its capacity, its slow start factor `f`,
//! and looks idle to all balancers at once. It is therefore admitted with the probability `f`: on
//! average, all balancers together send it `f` times the work of a warm server, without
//! coordination. In addition, the work sent to it within each overload window is limited:
//!
//! ```text
//! admit if  (no work sent in the window  or  work sent < overload factor * f * work rate * window)
//!           and  random < f
//! ```
//!
//! The work rate is that at which this balancer sends work to a warm server of the subset. Work not
//! sent in one window does not raise the limit of another.

#[cfg(test)]
mod tests;

use crate::estimators::slow_start::WarmServerWorkRate;
use crate::fleet::Fleet;
use crate::state::{ServerIndex, ServerState};

/// Whether a server is admitted as a candidate, and for which reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Admitted: the server has its full capacity, and its slow start, if any, ends.
    Warm,
    /// Admitted: the server is in slow start and was drawn.
    Admitted,
    /// Not admitted: the server has reached its limit of work within the overload window.
    WorkLimitReached,
    /// Not admitted: the server is in slow start and was not drawn.
    SkippedAtRandom,
}

/// Admits servers as candidates; owns the estimate of a warm server's work rate.
pub(crate) struct SlowStartAdmission {
    warm_server_work_rate: WarmServerWorkRate,
}

impl SlowStartAdmission {
    /// Creates an admission without an estimate of the work rate.
    pub(crate) fn new() -> Self {
        Self {
            warm_server_work_rate: WarmServerWorkRate::new(),
        }
    }

    /// Decides whether a server is admitted. Draws a random number if it is in slow start and
    /// below its limit.
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
        let work_rate = self.warm_server_work_rate.per_microsecond();
        let max_work =
            fleet.settings.slow_start.overload_factor * factor * work_rate * window as f64;
        let is_below_limit = sent == 0.0 || sent < max_work;
        if !is_below_limit {
            return Admission::WorkLimitReached;
        }
        if rng.f64() < factor {
            Admission::Admitted
        } else {
            Admission::SkippedAtRandom
        }
    }

    /// Records work sent to any server; `relative_work` is relative to that of an average request.
    pub(crate) fn on_work_sent(&mut self, fleet: &Fleet, relative_work: f64) {
        self.warm_server_work_rate
            .on_work_sent(relative_work, fleet.now);
    }

    /// Updates the estimate of a warm server's work rate; `subset` are the servers in use.
    pub(crate) fn on_tick(&mut self, fleet: &Fleet, subset: impl Iterator<Item = ServerIndex>) {
        let factor = |index: ServerIndex| {
            let slow_start = &fleet.servers[index].slow_start;
            slow_start.factor(fleet.now, &fleet.settings)
        };
        self.warm_server_work_rate
            .update(subset.map(factor), fleet.now);
    }
}
