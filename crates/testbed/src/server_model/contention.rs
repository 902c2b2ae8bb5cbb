//! Slowdown of a server after sustained overload, until the load has been low for a while.
//!
//! Tracks since when the server is overloaded, slowed or recovering; the thresholds are settings of
//! the machine type.

use super::ServerModel;
use crate::conversion::f64_from_count;
use crate::scenario::{Contention, Micros, from_s};

/// Whether a server is overloaded, or slowed after overload.
#[derive(Debug, Default)]
pub(super) struct ContentionState {
    /// Since when too many jobs are in flight; only tracked while the server is not slowed.
    overloaded_since: Option<Micros>,
    slowed: Option<SlowedPeriod>,
    /// Total length of the slowed periods that have ended, in microseconds.
    past_slowed_time: Micros,
}

/// A period in which the server is slowed.
#[derive(Debug)]
struct SlowedPeriod {
    since: Micros,
    /// Since when the jobs in flight are below the recovery threshold.
    recovering_since: Option<Micros>,
}

impl ContentionState {
    /// Updates the state after the time or the number of jobs in flight has changed.
    fn update(&mut self, contention: &Contention, now: Micros, in_flight: f64, cores: f64) {
        if let Some(slowed) = &mut self.slowed {
            let recovering = in_flight < contention.recovery_threshold * cores;
            slowed.recovering_since = recovering.then_some(slowed.recovering_since.unwrap_or(now));
            let recovering_since = slowed.recovering_since;
            let recovered =
                recovering_since.is_some_and(|at| now >= at + from_s(contention.recovery_s));
            if recovered || now >= slowed.since + from_s(contention.max_s) {
                self.past_slowed_time += now - slowed.since;
                self.reset();
            }
        } else if in_flight <= contention.overload_threshold * cores {
            self.overloaded_since = None;
        } else if now >= *self.overloaded_since.get_or_insert(now) + from_s(contention.overload_s) {
            self.slowed = Some(SlowedPeriod {
                since: now,
                recovering_since: None,
            });
        }
    }

    /// Ends overload and slowdown, for example at a restart. Keeps the total of earlier slowed
    /// periods.
    pub(super) fn reset(&mut self) {
        self.overloaded_since = None;
        self.slowed = None;
    }

    pub(super) fn is_slowed(&self) -> bool {
        self.slowed.is_some()
    }

    /// Whether the state can change with time alone.
    pub(super) fn is_time_dependent(&self) -> bool {
        self.overloaded_since.is_some() || self.is_slowed()
    }

    /// Factor by which contention slows the server; 1 for none.
    pub(super) fn slowdown(&self, contention: Option<&Contention>) -> f64 {
        contention
            .filter(|_| self.is_slowed())
            .map_or(1.0, |contention| contention.slowdown)
    }
}

impl ServerModel {
    pub(super) fn update_contention(&mut self) {
        let in_flight = f64_from_count(self.in_flight());
        let cores = f64::from(self.machine_type.cores);
        if let Some(contention) = &self.machine_type.contention {
            self.contention
                .update(contention, self.now, in_flight, cores);
        }
    }

    /// Total time for which contention has slowed the server, in microseconds, including the
    /// current period.
    pub fn slowed_time(&self) -> Micros {
        let slowed = self.contention.slowed.as_ref();
        let current = slowed.map_or(0, |slowed| self.now.saturating_sub(slowed.since));
        self.contention.past_slowed_time + current
    }
}
