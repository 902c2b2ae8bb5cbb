//! How a server works through its jobs as time passes.
//!
//! Owns the steps in which time passes; the speed within a step is that of `speed`.

use super::{Event, ServerModel, State};
use crate::conversion::{f64_from_u64, micros_from_f64};
use crate::scenario::Micros;

/// Step in which a speed that changes by itself is followed, in microseconds; it is taken as constant
/// within a step.
const STEP: Micros = 50_000;
/// Progress by which a job may end early, as progress is rounded: in microseconds of a standard
/// core.
const END_TOLERANCE: f64 = 1e-6;
/// Least speed to divide by, so that a job that stands still ends at a far but finite moment.
const MIN_SPEED: f64 = 1e-9;
/// Least work of a job, in microseconds of a standard core.
const MIN_WORK: f64 = 1.0;

impl ServerModel {
    /// When something will happen here by itself; nothing while it idles or stands still.
    pub fn next_event_at(&self) -> Option<Micros> {
        if self.state != State::Up {
            return None;
        }
        let changes = self.changes_by_itself(self.now) && self.in_flight() > 0;
        let step = (changes || self.contention.is_slowed()).then_some(self.now + STEP);
        [self.next_end(), step].into_iter().flatten().min()
    }

    /// When the first job ends, at the speed of now.
    fn next_end(&self) -> Option<Micros> {
        let end = self.running.first_end()?;
        let work = (end - self.running.progress()).max(0.0);
        let cores = f64::from(self.machine_type.cores);
        let side_work = self.side_work / cores / self.core_speed(self.now).max(MIN_SPEED);
        let span = work / self.job_speed(self.now).max(MIN_SPEED) + side_work;
        Some(self.now + micros_from_f64(span.ceil()).max(1))
    }

    /// Lets time pass up to `now`, and adds what happened.
    pub fn advance(&mut self, now: Micros, events: &mut Vec<Event>) {
        while self.now < now {
            let step_end = if self.changes_by_itself(self.now) {
                (self.now + STEP).min(now)
            } else {
                now
            };
            if self.job_speed(self.now) > 0.0 {
                self.work_until(step_end, events);
                self.update_contention();
            } else {
                self.now = step_end;
            }
        }
    }

    /// Works until a moment, or until the first job ends.
    fn work_until(&mut self, step_end: Micros, events: &mut Vec<Event>) {
        let speed = self.job_speed(self.now);
        let span = self.do_side_work(f64_from_u64(step_end - self.now));
        let progress = self.running.progress();
        let reach = progress + span * speed;
        let first_end = self.running.first_end();
        match first_end.filter(|&end| end <= reach + END_TOLERANCE) {
            Some(end) => {
                let used = ((end - progress) / speed).max(0.0);
                let idle = micros_from_f64((span - used).max(0.0));
                let ended_at = step_end - idle.min(step_end - self.now);
                self.now = ended_at.max(self.now);
                self.running.on_progress(end);
                self.finish_first(events);
            }
            None => {
                self.running.on_progress(reach);
                self.now = step_end;
            }
        }
    }

    /// Does work beside the jobs on all cores, before jobs go on; gives the rest of the span in
    /// microseconds.
    fn do_side_work(&mut self, span: f64) -> f64 {
        let cores = f64::from(self.machine_type.cores);
        let core_speed = self.core_speed(self.now);
        let done = self.side_work.min(span * core_speed * cores);
        self.side_work -= done;
        span - done / core_speed / cores
    }

    fn finish_first(&mut self, events: &mut Vec<Event>) {
        let Some(id) = self.running.pop_first() else {
            return;
        };
        let error = self.random.bernoulli(self.error_rate);
        if error {
            self.load_reports.on_error(self.now);
        }
        self.slow_start.on_served();
        events.push(Event::Completed { id, error });
        self.start_waiting(events);
    }

    /// Starts jobs that wait, as far as there are slots.
    pub(super) fn start_waiting(&mut self, events: &mut Vec<Event>) {
        if self.state != State::Up {
            return;
        }
        while self.running.len() < self.slots() {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            if self.machine_type.drops_expired && job.deadline <= self.now {
                self.counters.expired += 1;
                events.push(Event::Expired(job.id));
                continue;
            }
            self.running.on_started(job.id, job.work.max(MIN_WORK));
            events.push(Event::Started(job.id));
        }
    }
}
