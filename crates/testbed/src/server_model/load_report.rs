//! What a server reports of its load, in responses to health checks and in others.
//!
//! Owns samples and errors, and how old they are when they are reported. The wire form is not known
//! here.

use std::collections::VecDeque;

use super::{ServerModel, ServerModelEvent};
use crate::conversion::{MICROS_PER_MS, f64_from_count};
use crate::scenario::{LoadReportSource, LoadReports, Micros, from_ms};

/// Microseconds for which a load report for health checks stays as it is, like those of the
/// operators' servers.
const REFRESH_INTERVAL: Micros = 3_000;
/// Span in which errors count for the error rate, in microseconds: a second, as the rate is one per
/// second.
const ERROR_WINDOW: Micros = 1_000_000;

/// A load report in the response to a health check.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that wait and run.
    pub in_flight: usize,
    /// Requests that wait.
    pub queued: usize,
    /// Jobs that ended in an error in the last second.
    pub errors_per_s: f64,
}

/// Jobs in flight at a moment.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Micros,
    in_flight: usize,
}

/// What a server has measured of its load, and reports later.
#[derive(Debug, Default)]
pub(super) struct LoadReporter {
    settings: LoadReports,
    /// When jobs ended in errors, within the window.
    errors: VecDeque<Micros>,
    report: LoadReport,
    /// When the report was made; 0 before the first.
    reported_at: Micros,
    /// Samples for responses: the one that is reported, and younger ones.
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

    /// The report for a health check: the last one while it is fresh.
    fn health_check_report(&mut self, now: Micros, in_flight: usize, queued: usize) -> LoadReport {
        if now >= self.reported_at + REFRESH_INTERVAL || self.reported_at == 0 {
            let is_old = |at: &Micros| *at + ERROR_WINDOW <= now;
            while self.errors.front().is_some_and(is_old) {
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

    /// The jobs that a response reports: those of the last sample that is old enough.
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
    /// Answers a health check; nothing where it takes no more of them.
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

    /// The requests in flight that a response reports which goes out now; nothing where responses
    /// report none.
    pub fn response_load_report(&mut self, now: Micros) -> Option<usize> {
        let in_flight = self.in_flight();
        self.load_reporter.in_flight_to_report(now, in_flight)
    }
}
