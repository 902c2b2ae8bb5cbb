//! Load reports of a server, in responses to health checks and to other requests.
//!
//! Stores the samples and errors, and decides how old they are when reported. The emulator formats
//! the reports for the wire.

use std::collections::VecDeque;

use super::{ServerModel, ServerModelEvent};
use crate::conversion::{MICROS_PER_MS, f64_from_count};
use crate::scenario::{LoadReportSource, LoadReports, Micros, from_ms};

/// Time for which a load report for health checks is reused, in microseconds. The real servers that
/// the model imitates reuse theirs for as long.
const REFRESH_INTERVAL: Micros = 3_000;
/// Window of the error rate, in microseconds: one second, so that the number of errors in it is the
/// rate per second.
const ERROR_WINDOW: Micros = 1_000_000;

/// A load report in the response to a health check.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight: queued and running.
    pub in_flight: usize,
    /// Requests in the queue.
    pub queued: usize,
    /// Jobs that failed in the last second.
    pub errors_per_s: f64,
}

/// Number of jobs in flight at one time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Micros,
    in_flight: usize,
}

/// Samples a server's load and makes its load reports.
#[derive(Debug, Default)]
pub(super) struct LoadReporter {
    settings: LoadReports,
    /// Times at which jobs failed, within the error window.
    errors: VecDeque<Micros>,
    /// The last load report for health checks.
    report: LoadReport,
    /// When `report` was made; 0 before the first.
    reported_at: Micros,
    /// Samples for responses: the reported one, then those not yet old enough to report.
    samples: VecDeque<Sample>,
}

impl LoadReporter {
    pub(super) fn new(settings: LoadReports) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    pub(super) fn on_error(&mut self, now: Micros) {
        self.errors.push_back(now);
    }

    pub(super) fn on_restarted(&mut self) {
        self.samples.clear();
    }

    /// The load report for a health check; reuses the last one within the refresh interval.
    fn health_check_report(&mut self, now: Micros, in_flight: usize, queued: usize) -> LoadReport {
        if now >= self.reported_at + REFRESH_INTERVAL || self.reported_at == 0 {
            let is_expired = |at: &Micros| *at + ERROR_WINDOW <= now;
            while self.errors.front().is_some_and(is_expired) {
                self.errors.pop_front();
            }
            self.reported_at = now;
            self.report = LoadReport {
                in_flight,
                queued,
                errors_per_s: f64_from_count(self.errors.len()),
            };
        }
        self.report
    }

    /// The jobs in flight that a response reports, from the latest sample that is at least the
    /// report delay old.
    fn in_flight_to_report(&mut self, now: Micros, in_flight: usize) -> Option<usize> {
        if self.settings.source != LoadReportSource::Responses {
            return None;
        }
        let interval = from_ms(self.settings.every_ms);
        let delay = from_ms(self.settings.delay_ms);
        let last = self.samples.back();
        if last.is_none_or(|last| now >= last.at + interval) {
            self.samples.push_back(Sample { at: now, in_flight });
        }
        let is_reportable = |sample: &Sample| now >= sample.at + delay;
        while self.samples.get(1).is_some_and(is_reportable) {
            self.samples.pop_front();
        }
        let first = self.samples.front().copied();
        first.filter(is_reportable).map(|sample| sample.in_flight)
    }
}

impl ServerModel {
    /// Answers a health check; `None` if the rate limit rejects it.
    pub fn answer_health_check(
        &mut self,
        now: Micros,
        events: &mut Vec<ServerModelEvent>,
    ) -> Option<LoadReport> {
        self.advance(now, events);
        let rate = self.machine_type.health_checks_per_s;
        if !self.health_check_limiter.try_acquire(rate, now) {
            return None;
        }
        self.overhead_work += self.machine_type.health_check_ms * MICROS_PER_MS;
        let in_flight = self.in_flight();
        let queued = self.queue.len();
        Some(
            self.load_reporter
                .health_check_report(now, in_flight, queued),
        )
    }

    /// The requests in flight that a response sent now reports; `None` if responses carry no load
    /// report, or if no sample is old enough.
    pub fn response_load_report(&mut self, now: Micros) -> Option<usize> {
        let in_flight = self.in_flight();
        self.load_reporter.in_flight_to_report(now, in_flight)
    }
}
