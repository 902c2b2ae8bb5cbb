//! The jobs that run on a server, and how far they have come.
//!
//! `progress` is the work that one core has done for a job that has run all along: a job ends once
//! it has grown by the job's work. Pauses, slow start and contention change only the speed at which
//! it grows.

use std::collections::{BTreeSet, HashMap};

/// Jobs that run, by the progress at which they end.
#[derive(Debug, Default)]
pub(super) struct RunningJobs {
    /// In microseconds of a standard core.
    progress: f64,
    /// Bits of the progress at which a job ends, which sort as the positive numbers do, and the
    /// job.
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

    /// Progress at which the first job ends.
    pub(super) fn first_end_progress(&self) -> Option<f64> {
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

    /// Removes the first job that ends.
    pub(super) fn pop_first(&mut self) -> Option<u64> {
        let (_, job) = self.by_end_progress.pop_first()?;
        self.end_progress_by_job.remove(&job);
        Some(job)
    }

    /// Stops a job; false where it does not run.
    pub(super) fn cancel(&mut self, job: u64) -> bool {
        let end = self.end_progress_by_job.remove(&job);
        end.is_some_and(|end| self.by_end_progress.remove(&(end, job)))
    }

    /// Stops all jobs; progress stays.
    pub(super) fn clear(&mut self) {
        self.by_end_progress.clear();
        self.end_progress_by_job.clear();
    }
}
