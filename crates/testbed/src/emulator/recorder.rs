//! Collects the events of an emulation, which several threads record out of order.
//!
//! Keeps them until the run has ended; the auditor and the statistics evaluate them.

use std::collections::HashSet;
use std::sync::Mutex;

use super::lock::lock;
use crate::event_log::{LogEvent, LogRecord};
use crate::index::RequestNumber;
use crate::scenario::Micros;

/// The events so far, in the order of recording.
#[derive(Default)]
pub(super) struct Recorder {
    records: Mutex<Vec<LogRecord>>,
    /// Requests that were in transit when the sidecar closed their connection, and could not be
    /// sent again because the sidecar no longer listened.
    not_accepted: Mutex<HashSet<RequestNumber>>,
}

impl Recorder {
    pub(super) fn record(&self, at: Micros, event: LogEvent) {
        lock(&self.records).push(LogRecord { at, event });
    }

    /// Marks a request that was recorded as accepted as not accepted. The mark has no effect if a
    /// server received an attempt of the request.
    pub(super) fn mark_not_accepted(&self, request: RequestNumber) {
        lock(&self.not_accepted).insert(request);
    }

    /// The events so far, sorted by time, without the acceptances and responses of requests that
    /// were not accepted.
    pub(super) fn sorted_records(&self) -> Vec<LogRecord> {
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
