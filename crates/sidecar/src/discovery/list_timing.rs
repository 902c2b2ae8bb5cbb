//! Measures what each endpoint list costs the thread, by phase, for the log.

use std::time::Duration;

use arrowstand_platform::EndpointList;
use tokio::time::Instant;

/// Time that the thread has spent on the list that is being received.
#[derive(Debug, Default)]
pub(super) struct ListTiming {
    /// Splitting the received bytes into objects.
    framing: Duration,
    /// Parsing the object and reading its entries.
    parsing: Duration,
    /// Updating the servers and the balancer.
    applying: Duration,
}

impl ListTiming {
    /// Runs `work` and counts its time as framing.
    pub(super) fn time_framing<T>(&mut self, work: impl FnOnce() -> T) -> T {
        time(&mut self.framing, work)
    }

    /// Runs `work` and counts its time as parsing.
    pub(super) fn time_parsing<T>(&mut self, work: impl FnOnce() -> T) -> T {
        time(&mut self.parsing, work)
    }

    /// Runs `work` and counts its time as applying.
    pub(super) fn time_applying<T>(&mut self, work: impl FnOnce() -> T) -> T {
        time(&mut self.applying, work)
    }

    /// Logs the cost of a full list of `bytes` bytes, for which framing examined `examined_bytes`,
    /// and starts to measure the next one. Deltas are not logged, because there may be many.
    pub(super) fn log(&mut self, list: &EndpointList, bytes: usize, examined_bytes: u64) {
        let timing = std::mem::take(self);
        tracing::info!(
            revision = list.revision,
            servers = list.endpoints.len(),
            bytes,
            examined_bytes,
            framing_us = timing.framing.as_micros(),
            parsing_us = timing.parsing.as_micros(),
            applying_us = timing.applying.as_micros(),
            "full endpoint list applied"
        );
    }
}

fn time<T>(total: &mut Duration, work: impl FnOnce() -> T) -> T {
    let started_at = Instant::now();
    let result = work();
    *total += started_at.elapsed();
    result
}
