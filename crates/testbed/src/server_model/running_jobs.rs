//! The running jobs of a server and their progress, as in a processor-sharing queue.
//!
//! `progress` is the work done so far for a hypothetical job that has run from the start. A job
//! completes once `progress` has grown by the job's work since the job started. Pauses, slow start
//! and contention only change the rate at which it grows, so no job has to be updated.

use std::collections::{BTreeSet, HashMap};

/// Running jobs, ordered by the progress at which they complete.
#[derive(Debug, Default)]
pub(super) struct RunningJobs {
    /// Progress so far, in microseconds of a standard core.
    progress: f64,
    /// The progress at which a job completes, and the job's id. The progress is kept as the bits of
    /// an `f64`: those of non-negative numbers sort like the numbers.
    by_end_progress: BTreeSet<(u64, u64)>,
    end_progress_by_job: HashMap<u64, u64>,
}

impl RunningJobs {
    pub(super) fn len(&self) -> usize {
        self.by_end_progress.len()
    }

    /// Progress so far, in microseconds of a standard core.
    pub(super) fn progress(&self) -> f64 {
        self.progress
    }

    /// Progress at which the next job completes.
    pub(super) fn next_end_progress(&self) -> Option<f64> {
        self.by_end_progress
            .first()
            .map(|&(bits, _)| f64::from_bits(bits))
    }

    pub(super) fn on_started(&mut self, job: u64, work: f64) {
        let end = (self.progress + work).to_bits();
        self.by_end_progress.insert((end, job));
        self.end_progress_by_job.insert(job, end);
    }

    pub(super) fn set_progress(&mut self, progress: f64) {
        self.progress = progress;
    }

    /// Removes the job that completes next.
    pub(super) fn pop_next(&mut self) -> Option<u64> {
        let (_, job) = self.by_end_progress.pop_first()?;
        self.end_progress_by_job.remove(&job);
        Some(job)
    }

    /// Removes a job; returns false if it is not running.
    pub(super) fn cancel(&mut self, job: u64) -> bool {
        let end = self.end_progress_by_job.remove(&job);
        end.is_some_and(|end| self.by_end_progress.remove(&(end, job)))
    }

    /// Removes all jobs. The progress is kept.
    pub(super) fn clear(&mut self) {
        self.by_end_progress.clear();
        self.end_progress_by_job.clear();
    }
}
