//! Lasting overload, which slows a server until it has had a rest.

use super::ServerModel;
use crate::scenario::{Choke, Micros, from_s};

/// Whether a server is overloaded, or slowed by it.
#[derive(Debug, Default)]
pub(super) struct Contention {
    /// Since when too many jobs are in flight, while it is not slowed.
    overloaded_since: Option<Micros>,
    slowed: Option<Slowed>,
    /// Time for which it was slowed earlier, in microseconds.
    earlier_slowed_time: Micros,
}

/// A server is slowed.
#[derive(Debug)]
struct Slowed {
    since: Micros,
    /// Since when few enough jobs are in flight for it to recover.
    recovering_since: Option<Micros>,
}

impl Contention {
    /// The number of jobs in flight, or the time, has changed.
    fn on_load(&mut self, choke: &Choke, now: Micros, in_flight: f64, cores: f64) {
        if let Some(slowed) = &mut self.slowed {
            let recovering = in_flight < choke.below * cores;
            slowed.recovering_since = recovering.then_some(slowed.recovering_since.unwrap_or(now));
            let recovering_since = slowed.recovering_since;
            let recovered = recovering_since.is_some_and(|at| now >= at + from_s(choke.rest_s));
            if recovered || now >= slowed.since + from_s(choke.most_s) {
                self.earlier_slowed_time += now - slowed.since;
                self.reset();
            }
        } else if in_flight <= choke.at * cores {
            self.overloaded_since = None;
        } else if now >= *self.overloaded_since.get_or_insert(now) + from_s(choke.over_s) {
            self.slowed = Some(Slowed {
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
    pub(super) fn changes_by_itself(&self) -> bool {
        self.overloaded_since.is_some() || self.is_slowed()
    }

    /// How many times slower it makes the server.
    pub(super) fn slowdown(&self, choke: Option<&Choke>) -> f64 {
        choke
            .filter(|_| self.is_slowed())
            .map_or(1.0, |choke| choke.slower)
    }
}

impl ServerModel {
    pub(super) fn update_contention(&mut self) {
        let in_flight = self.in_flight() as f64;
        let cores = f64::from(self.machine_type.cores);
        if let Some(choke) = &self.machine_type.choke {
            self.contention.on_load(choke, self.now, in_flight, cores);
        }
    }

    /// Time for which contention has slowed it so far, in microseconds, including one that goes on.
    pub fn time_slowed(&self) -> Micros {
        let slowed = self.contention.slowed.as_ref();
        let present = slowed.map_or(0, |slowed| self.now.saturating_sub(slowed.since));
        self.contention.earlier_slowed_time + present
    }
}
