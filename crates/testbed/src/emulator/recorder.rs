//! Records the events of an emulation, which several threads see out of order.
//!
//! Owns the records until the run has ended. What they add up to is for the auditor and the
//! statistics.

use std::collections::HashSet;
use std::sync::Mutex;

use super::lock::lock;
use crate::event_log::{LogEvent, LogRecord};
use crate::index::RequestNumber;
use crate::scenario::Micros;

/// The events so far, in the order in which they were recorded.
#[derive(Default)]
pub(super) struct Recorder {
    records: Mutex<Vec<LogRecord>>,
    /// Requests that crossed the close of their connection, and found no listener for a new one.
    not_accepted: Mutex<HashSet<RequestNumber>>,
}

impl Recorder {
    pub(super) fn record(&self, at: Micros, event: LogEvent) {
        lock(&self.records).push(LogRecord { at, event });
    }

    /// A request that was recorded as accepted turns out not to be, unless a server has received
    /// it.
    pub(super) fn on_request_not_accepted(&self, request: RequestNumber) {
        lock(&self.not_accepted).insert(request);
    }

    /// The events so far in the order of their times, without those of requests that were not
    /// accepted.
    pub(super) fn sorted(&self) -> Vec<LogRecord> {
        let mut records = lock(&self.records).clone();
        records.sort_by_key(|record| record.at);
        let mut not_accepted = lock(&self.not_accepted).clone();
        for record in &records {
            if let LogEvent::AttemptStarted { request, .. } = record.event {
                not_accepted.remove(&request);
            }
        }
        records.retain(|record| match record.event {
            LogEvent::RequestAccepted { request, .. }
            | LogEvent::ResponseReceived { request, .. } => !not_accepted.contains(&request),
            _ => true,
        });
        records
    }
}
