//! Changes to a server's state by faults, connections and cancellations.
//!
//! Jobs progress in `job_progress`.

use super::{RunState, ServerModel, ServerModelEvent};
use crate::conversion::MICROS_PER_MS;
use crate::scenario::{CancellationScope, Micros};

/// Minimum slowdown factor, so that the speed stays finite; 1 is normal speed.
const MIN_SLOWDOWN: f64 = 1e-3;

impl ServerModel {
    /// Cancels a job that nobody waits for any more, as far as the machine type supports it.
    /// Returns true if the job was still queued, and so never runs.
    pub fn cancel(&mut self, now: Micros, id: u64, events: &mut Vec<ServerModelEvent>) -> bool {
        self.advance(now, events);
        if self.machine_type.cancel == CancellationScope::None {
            return false;
        }
        if let Some(position) = self.queue.iter().position(|job| job.id == id) {
            self.queue.remove(position);
            self.counters.cancelled += 1;
            self.update_contention();
            return true;
        }
        if self.machine_type.cancel == CancellationScope::All && self.running.cancel(id) {
            self.counters.cancelled += 1;
            self.start_queued_jobs(events);
            self.update_contention();
        }
        false
    }

    /// Adds the work of setting up a new connection.
    pub fn on_handshake(&mut self, now: Micros, events: &mut Vec<ServerModelEvent>) {
        self.advance(now, events);
        self.overhead_work += self.machine_type.handshake_ms * MICROS_PER_MS;
    }

    /// Opens a connection; returns false if the connection table is full.
    pub fn try_connect(&mut self) -> bool {
        let accepted = self.connections < self.machine_type.connections;
        self.connections += usize::from(accepted);
        accepted
    }

    /// Frees the entry of a closed connection.
    pub fn on_disconnected(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Changes the run state. All jobs are lost on going down, and the server is cold when it comes
    /// up again.
    pub fn set_state(&mut self, now: Micros, state: RunState, events: &mut Vec<ServerModelEvent>) {
        self.advance(now, events);
        let previous = std::mem::replace(&mut self.state, state);
        match (previous, state) {
            (RunState::Down, RunState::Up) => self.on_restarted(now),
            (_, RunState::Down) => {
                self.running.clear();
                self.queue.clear();
            }
            _ => {}
        }
        self.start_queued_jobs(events);
    }

    fn on_restarted(&mut self, now: Micros) {
        self.slow_start.on_restarted(now);
        self.contention.reset();
        self.load_reporter.on_restarted();
        self.overhead_work = 0.0;
        self.connections = 0;
    }

    /// Slows the server down by a factor; 1 restores the normal speed.
    pub fn set_slowdown(&mut self, now: Micros, factor: f64, events: &mut Vec<ServerModelEvent>) {
        self.advance(now, events);
        self.slowdown = factor.max(MIN_SLOWDOWN);
    }

    /// Sets the fraction of jobs that fail; `None` restores that of the machine type.
    pub fn set_error_rate(&mut self, share: Option<f64>) {
        self.error_rate = share.unwrap_or(self.machine_type.error_rate);
    }
}
