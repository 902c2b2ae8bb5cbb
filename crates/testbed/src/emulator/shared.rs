//! State that all parts of an emulation share: the scenario, the clock, the recorder of events, and
//! the counts of attempts and health checks that silent servers received.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::clock::Clock;
use super::recorder::Recorder;
use super::schedule_lag::ScheduleLag;
use crate::event_log::LogEvent;
use crate::index::{ArrivalNumber, RequestNumber};
use crate::scenario::{Micros, Scenario, from_ms};

/// State shared by all tasks of an emulation.
pub(super) struct Shared {
    pub(super) scenario: Arc<Scenario>,
    pub(super) clock: Clock,
    pub(super) recorder: Recorder,
    pub(super) schedule_lag: ScheduleLag,
    next_number: AtomicU64,
    blackholed_attempts: AtomicU64,
    blackholed_health_checks: AtomicU64,
}

impl Shared {
    pub(super) fn new(scenario: &Scenario, clock: Clock) -> Self {
        Self {
            scenario: Arc::new(scenario.clone()),
            clock,
            recorder: Recorder::default(),
            schedule_lag: ScheduleLag::default(),
            next_number: AtomicU64::new(1),
            blackholed_attempts: AtomicU64::new(0),
            blackholed_health_checks: AtomicU64::new(0),
        }
    }

    pub(super) fn record_at(&self, at: Micros, event: LogEvent) {
        self.recorder.record(at, event);
    }

    pub(super) fn record(&self, event: LogEvent) {
        self.record_at(self.clock.now(), event);
    }

    /// Records how late an event that was due at `due` runs now.
    pub(super) fn record_lag(&self, due: Micros) {
        self.schedule_lag.record(due, self.clock.now());
    }

    /// The number of a new arrival, unique among arrivals and requests.
    pub(super) fn next_arrival_number(&self) -> ArrivalNumber {
        ArrivalNumber::new(self.next_number())
    }

    /// The number of a new request, unique among arrivals and requests.
    pub(super) fn next_request_number(&self) -> RequestNumber {
        RequestNumber::new(self.next_number())
    }

    fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// One-way delay between a sidecar and a server; `unit` is a random draw from 0 to 1.
    pub(super) fn network_delay(&self, same_zone: bool, unit: f64) -> Micros {
        let network = &self.scenario.network;
        let base = if same_zone {
            network.same_ms
        } else {
            network.cross_ms
        };
        from_ms(base * (1.0 + network.jitter * unit))
    }

    /// Counts an attempt that gets no response because its server is silent.
    pub(super) fn on_attempt_blackholed(&self) {
        self.blackholed_attempts.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a health check that gets no response because its server is silent.
    pub(super) fn on_health_check_blackholed(&self) {
        self.blackholed_health_checks
            .fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn blackholed_attempts(&self) -> u64 {
        self.blackholed_attempts.load(Ordering::Relaxed)
    }

    pub(super) fn blackholed_health_checks(&self) -> u64 {
        self.blackholed_health_checks.load(Ordering::Relaxed)
    }
}
