//! The progress of a server's jobs over time: they start, run and complete as the model advances.
//!
//! Time advances in steps; `speed` computes the speed, which is constant within a step.

use super::{RunState, ServerModel, ServerModelEvent};
use crate::conversion::{f64_from_u64, micros_from_f64};
use crate::scenario::Micros;

/// Length of a step in microseconds while the speed depends on time. The speed is taken as constant
/// within a step.
const STEP: Micros = 50_000;
/// Tolerance for rounding errors: a job may complete this much progress early, in microseconds of a
/// standard core.
const END_TOLERANCE: f64 = 1e-6;
/// Minimum speed to divide by, so that the completion time of a stalled job is finite.
const MIN_SPEED: f64 = 1e-9;
/// Minimum work of a job, in microseconds of a standard core.
const MIN_WORK: f64 = 1.0;

impl ServerModel {
    /// When the model has to be advanced next; `None` while the server is idle, paused or down.
    pub fn next_event_at(&self) -> Option<Micros> {
        if self.state != RunState::Up {
            return None;
        }
        let changes = self.speed_is_time_dependent(self.now) && self.in_flight() > 0;
        let step = (changes || self.contention.is_slowed()).then_some(self.now + STEP);
        [self.next_completion_at(), step]
            .into_iter()
            .flatten()
            .min()
    }

    /// When the next job completes if the current speed lasts.
    fn next_completion_at(&self) -> Option<Micros> {
        let end = self.running.next_end_progress()?;
        let work = (end - self.running.progress()).max(0.0);
        let cores = f64::from(self.machine_type.cores);
        let overhead_time = self.overhead_work / cores / self.core_speed(self.now).max(MIN_SPEED);
        let span = work / self.job_speed(self.now).max(MIN_SPEED) + overhead_time;
        Some(self.now + micros_from_f64(span.ceil()).max(1))
    }

    /// Advances the model to `now`, and appends what happened to `events`.
    pub fn advance(&mut self, now: Micros, events: &mut Vec<ServerModelEvent>) {
        while self.now < now {
            let step_end = if self.speed_is_time_dependent(self.now) {
                (self.now + STEP).min(now)
            } else {
                now
            };
            if self.job_speed(self.now) > 0.0 {
                self.run_until(step_end, events);
                self.update_contention();
            } else {
                self.now = step_end;
            }
        }
    }

    /// Runs the jobs until `step_end`, or until the next job completes if that is earlier.
    fn run_until(&mut self, step_end: Micros, events: &mut Vec<ServerModelEvent>) {
        let speed = self.job_speed(self.now);
        let span = self.do_overhead_work(f64_from_u64(step_end - self.now));
        let progress = self.running.progress();
        let step_end_progress = progress + span * speed;
        let next_end_progress = self.running.next_end_progress();
        match next_end_progress.filter(|&end| end <= step_end_progress + END_TOLERANCE) {
            Some(end) => {
                let used = ((end - progress) / speed).max(0.0);
                let unused = micros_from_f64((span - used).max(0.0));
                let ended_at = step_end - unused.min(step_end - self.now);
                self.now = ended_at.max(self.now);
                self.running.set_progress(end);
                self.complete_next_job(events);
            }
            None => {
                self.running.set_progress(step_end_progress);
                self.now = step_end;
            }
        }
    }

    /// Does overhead work on all cores before any job progresses. Returns the rest of the span, in
    /// microseconds.
    fn do_overhead_work(&mut self, span: f64) -> f64 {
        let cores = f64::from(self.machine_type.cores);
        let core_speed = self.core_speed(self.now);
        let done = self.overhead_work.min(span * core_speed * cores);
        self.overhead_work -= done;
        span - done / core_speed / cores
    }

    fn complete_next_job(&mut self, events: &mut Vec<ServerModelEvent>) {
        let Some(id) = self.running.pop_next() else {
            return;
        };
        let error = self.random.bernoulli(self.error_rate);
        if error {
            self.load_reporter.on_error(self.now);
        }
        self.slow_start.on_completed();
        events.push(ServerModelEvent::Completed { id, error });
        self.start_queued_jobs(events);
    }

    /// Starts queued jobs while slots are free, and drops expired ones if the machine type does so.
    pub(super) fn start_queued_jobs(&mut self, events: &mut Vec<ServerModelEvent>) {
        if self.state != RunState::Up {
            return;
        }
        while self.running.len() < self.slots() {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            if self.machine_type.drops_expired && job.deadline <= self.now {
                self.counters.expired += 1;
                events.push(ServerModelEvent::Expired(job.id));
                continue;
            }
            self.running.on_started(job.id, job.work.max(MIN_WORK));
            events.push(ServerModelEvent::Started(job.id));
        }
    }
}
