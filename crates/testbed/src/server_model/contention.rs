//! Lasting overload, which slows a server until it has had a rest.
//!
//! Owns how long overload and rest have lasted; thresholds are the machine type's.

use super::ServerModel;
use crate::conversion::f64_from_count;
use crate::scenario::{Contention, Micros, from_s};

/// Whether a server is overloaded, or slowed by it.
#[derive(Debug, Default)]
pub(super) struct ContentionState {
    /// Since when too many jobs are in flight, while it is not slowed.
    overloaded_since: Option<Micros>,
    slowed: Option<SlowedPeriod>,
    /// Time for which it was slowed earlier, in microseconds.
    past_slowed_time: Micros,
}

/// A server is slowed.
#[derive(Debug)]
struct SlowedPeriod {
    since: Micros,
    /// Since when few enough jobs are in flight for it to recover.
    recovering_since: Option<Micros>,
}

impl ContentionState {
    /// The number of jobs in flight, or the time, has changed.
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

    /// Neither overloaded nor slowed any more; the time for which it was slowed stays.
    pub(super) fn reset(&mut self) {
        self.overloaded_since = None;
        self.slowed = None;
    }

    pub(super) fn is_slowed(&self) -> bool {
        self.slowed.is_some()
    }

    /// Whether it changes as time passes.
    pub(super) fn is_time_dependent(&self) -> bool {
        self.overloaded_since.is_some() || self.is_slowed()
    }

    /// How many times slower it makes the server.
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

    /// Time for which contention has slowed it so far, in microseconds, including one that goes on.
    pub fn slowed_time(&self) -> Micros {
        let slowed = self.contention.slowed.as_ref();
        let present = slowed.map_or(0, |slowed| self.now.saturating_sub(slowed.since));
        self.contention.past_slowed_time + present
    }
}
