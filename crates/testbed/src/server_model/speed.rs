//! The current speed of a server.
//!
//! The formulas only; `slow_start` and `contention` track the state of their factors.

use super::{RunState, ServerModel};
use crate::conversion::{count_from_u32, f64_from_count};
use crate::scenario::Micros;

impl ServerModel {
    /// Maximum number of jobs that run at once; one per core unless the machine type sets it.
    pub(super) fn slots(&self) -> usize {
        let machine_type = &self.machine_type;
        if machine_type.slots == 0 {
            count_from_u32(machine_type.cores)
        } else {
            count_from_u32(machine_type.slots)
        }
    }

    /// Growth of the jobs' progress per microsecond. Jobs share the cores if there are more jobs
    /// than cores.
    pub(super) fn job_speed(&self, now: Micros) -> f64 {
        let cores = f64::from(self.machine_type.cores);
        let sharing = cores / f64_from_count(self.running.len().max(1));
        self.core_speed(now) * sharing.min(1.0)
    }

    /// Work that a core does per microsecond, in microseconds of a standard core.
    pub(super) fn core_speed(&self, now: Micros) -> f64 {
        if self.state != RunState::Up {
            return 0.0;
        }
        self.warm_core_speed * self.slow_start_factor(now) * self.connection_factor()
            / self
                .contention
                .slowdown(self.machine_type.contention.as_ref())
            / self.slowdown
            / self.thrashing_factor()
    }

    /// Fraction of the capacity that is left after the overhead of open connections.
    fn connection_factor(&self) -> f64 {
        let machine_type = &self.machine_type;
        let table_use =
            f64_from_count(self.connections) / f64_from_count(machine_type.connections.max(1));
        1.0 - machine_type.connection_overhead * table_use.min(1.0)
    }

    /// Factor by which jobs in flight beyond the thrashing threshold slow down all jobs; 1 for
    /// none.
    fn thrashing_factor(&self) -> f64 {
        let machine_type = &self.machine_type;
        let in_flight_per_core = f64_from_count(self.in_flight()) / f64::from(machine_type.cores);
        let excess = (in_flight_per_core - machine_type.thrashing_threshold).max(0.0);
        1.0 + machine_type.thrashing * excess
    }

    /// Whether the speed can change with time alone.
    pub(super) fn speed_is_time_dependent(&self, now: Micros) -> bool {
        self.is_cold(now) || self.contention.is_time_dependent()
    }
}
