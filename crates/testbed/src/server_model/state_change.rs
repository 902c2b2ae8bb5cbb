//! What is done to a server beside handing it jobs.
//!
//! Owns what faults, connections and cancellations change. Time passes in `service`.

use super::{RunState, ServerModel, ServerModelEvent};
use crate::conversion::MICROS_PER_MS;
use crate::scenario::{CancellationScope, Micros};

/// Least factor of a slowdown, so that a speed stays finite; 1 is the usual speed.
const MIN_SLOWDOWN: f64 = 1e-3;

impl ServerModel {
    /// Nobody waits for a job any more. True if it had not started and never will.
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

    /// A new connection costs work beside the jobs.
    pub fn on_handshake(&mut self, now: Micros, events: &mut Vec<ServerModelEvent>) {
        self.advance(now, events);
        self.overhead_work += self.machine_type.handshake_ms * MICROS_PER_MS;
    }

    /// A connection is opened; false where the connection table is full.
    pub fn try_connect(&mut self) -> bool {
        let accepted = self.connections < self.machine_type.connections;
        self.connections += usize::from(accepted);
        accepted
    }

    /// A connection is closed.
    pub fn on_disconnected(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Changes whether it works. Going down forgets all jobs; coming up is a cold start.
    pub fn set_state(&mut self, now: Micros, state: RunState, events: &mut Vec<ServerModelEvent>) {
        self.advance(now, events);
        let earlier = std::mem::replace(&mut self.state, state);
        match (earlier, state) {
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

    /// Makes it so many times slower than usual; 1 for its usual speed.
    pub fn set_slowdown(&mut self, now: Micros, factor: f64, events: &mut Vec<ServerModelEvent>) {
        self.advance(now, events);
        self.slowdown = factor.max(MIN_SLOWDOWN);
    }

    /// Makes it fail this share of its jobs; the machine type's own share where none is given.
    pub fn set_error_rate(&mut self, share: Option<f64>) {
        self.error_rate = share.unwrap_or(self.machine_type.error_rate);
    }
}
