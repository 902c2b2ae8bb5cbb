//! Estimates the work of each request class and the relative latency of each server.
//!
//! The response time of a request that had to queue says little about its work. Therefore only
//! attempts count that went to a server whose latest load report showed an empty queue. The work of
//! a class is the mean response time of those attempts, each divided by the latency factor of its
//! server; the latency factor of a server is the mean ratio of response time to the work of the
//! class. Both means are robust: one sample counts as at most a few times the expected value.
//!
//! This module owns these estimates. Which requests and attempts exist is tracked by
//! [`WorkAwareBalancer`](crate::WorkAwareBalancer).

use std::collections::BTreeMap;

use arrowstand_balancer::{ClassId, LoadReport, Micros, ServerId};

use crate::convert::{f64_from_micros, truncate_to_micros};

/// A load report describes a server for this many microseconds. Queues change within tens of
/// milliseconds.
const MAX_REPORT_AGE: Micros = 20_000;
/// Requests in the queue below which a server counts as idle: less than one, as reports are noisy.
const MAX_IDLE_QUEUE: f64 = 0.5;
/// Samples after which an estimate is used.
const MIN_SAMPLES: u32 = 20;
/// Samples that a mean takes in unbounded: before, its value is no measure of what to expect.
const UNBOUNDED_SAMPLES: u32 = 5;
/// Weight of a new sample in the work of a class, once there are many samples.
const WORK_SAMPLE_WEIGHT: f64 = 0.01;
/// Weight of a new sample in the latency factor of a server: servers change faster than classes do.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.05;
/// One sample counts as at most this multiple of the expected value: a costly request in fifty, 26
/// times the usual work, then moves the mean by a few per cent and not by half.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Smallest latency factor that is divided by. Guards against an estimate that grows without bound.
const MIN_LATENCY_FACTOR: f64 = 0.05;
/// Servers whose latency factor is kept; the one with the oldest load report is evicted.
const MAX_SERVERS: usize = 4_096;

/// What was known of the server when an attempt began; kept by the caller until the attempt ends.
#[derive(Clone, Copy, Debug)]
pub struct SendSample {
    server: ServerId,
    /// A recent load report showed an empty queue.
    server_idle: bool,
}

/// A moving mean in which outliers count as a multiple of the mean.
#[derive(Clone, Copy, Debug, Default)]
struct BoundedMean {
    samples: u32,
    value: f64,
}

impl BoundedMean {
    /// Records a sample, bounded by [`MAX_SAMPLE_RATIO`] times the current mean.
    fn record(&mut self, sample: f64, weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = weight.max(1.0 / f64::from(self.samples));
        let bounded = if self.samples > UNBOUNDED_SAMPLES {
            sample.min(MAX_SAMPLE_RATIO * self.value)
        } else {
            sample
        };
        self.value += weight * (bounded - self.value);
    }
}

/// What is known of one server.
#[derive(Clone, Copy, Debug)]
struct ServerEstimate {
    /// Queued requests by the latest load report, plus what was sent since.
    queue_depth: f64,
    /// When the latest load report came.
    reported_at: Micros,
    latency_factor: BoundedMean,
}

impl ServerEstimate {
    /// A server of which no load report has come yet and that counts as average.
    const UNKNOWN: Self = Self {
        queue_depth: 0.0,
        reported_at: 0,
        latency_factor: BoundedMean {
            samples: 0,
            value: 1.0,
        },
    };
}

/// Estimates of work by class and of latency by server.
#[derive(Clone, Debug, Default)]
pub struct WorkEstimator {
    work_by_class: Vec<BoundedMean>,
    servers: BTreeMap<ServerId, ServerEstimate>,
    /// Mean latency factor of the servers that served the counted attempts. Guards against drift:
    /// work that rises while all latency factors fall would fit every sample equally well.
    mean_latency_factor: BoundedMean,
}

impl WorkEstimator {
    /// An estimator for this many classes, without any samples.
    pub fn new(classes: usize) -> Self {
        Self {
            work_by_class: vec![BoundedMean::default(); classes],
            ..Self::default()
        }
    }

    /// Records a load report of a server. One whose queue is not a finite number is ignored.
    pub fn on_load_report(&mut self, now: Micros, server: ServerId, report: LoadReport) {
        if !report.queued.is_finite() {
            return;
        }
        let estimate = self
            .servers
            .entry(server)
            .or_insert(ServerEstimate::UNKNOWN);
        estimate.queue_depth = report.queued;
        estimate.reported_at = now;
        if self.servers.len() > MAX_SERVERS {
            self.evict_oldest_server();
        }
    }

    fn evict_oldest_server(&mut self) {
        let oldest = self
            .servers
            .iter()
            .min_by_key(|(_, estimate)| estimate.reported_at)
            .map(|(&id, _)| id);
        if let Some(id) = oldest {
            self.servers.remove(&id);
        }
    }

    /// Records that an attempt is sent to a server; the returned sample belongs to
    /// [`on_attempt_served`](Self::on_attempt_served).
    pub fn on_attempt_started(&mut self, now: Micros, server: ServerId) -> SendSample {
        let Some(estimate) = self.servers.get_mut(&server) else {
            return SendSample {
                server,
                server_idle: false,
            };
        };
        let recent = now.saturating_sub(estimate.reported_at) <= MAX_REPORT_AGE;
        let server_idle = recent && estimate.queue_depth < MAX_IDLE_QUEUE;
        // The next attempt may have to wait for this one.
        estimate.queue_depth += MAX_IDLE_QUEUE;
        SendSample {
            server,
            server_idle,
        }
    }

    /// Records that an attempt was served, `elapsed` microseconds after it was sent.
    pub fn on_attempt_served(&mut self, class: ClassId, sent: &SendSample, elapsed: Micros) {
        let (Some(work), true) = (
            self.work_by_class.get_mut(usize::from(class.0)),
            sent.server_idle,
        ) else {
            return;
        };
        let latency_factor = self
            .servers
            .get(&sent.server)
            .map_or(1.0, |estimate| estimate.latency_factor.value)
            .max(MIN_LATENCY_FACTOR);
        self.mean_latency_factor
            .record(latency_factor, WORK_SAMPLE_WEIGHT);
        let mean = self.mean_latency_factor.value.max(MIN_LATENCY_FACTOR);
        work.record(
            f64_from_micros(elapsed) / (latency_factor / mean),
            WORK_SAMPLE_WEIGHT,
        );
        let expected = work.value;
        if work.samples >= MIN_SAMPLES
            && expected > 0.0
            && let Some(estimate) = self.servers.get_mut(&sent.server)
        {
            let ratio = (f64_from_micros(elapsed) / expected).min(MAX_SAMPLE_RATIO);
            estimate.latency_factor.record(ratio, LATENCY_SAMPLE_WEIGHT);
        }
    }

    /// Expected work of a request of a class, in microseconds on an average server. `None` until
    /// every class has enough samples, as the works of classes are compared with each other.
    pub fn expected_work(&self, class: ClassId) -> Option<Micros> {
        let work = self.work_by_class.get(usize::from(class.0))?;
        let all_known = self
            .work_by_class
            .iter()
            .all(|class| class.samples >= MIN_SAMPLES);
        (all_known && work.value >= 1.0).then_some(truncate_to_micros(work.value))
    }

    /// Response time of a server relative to an average one; `None` until it has enough samples.
    pub fn latency_factor(&self, server: ServerId) -> Option<f64> {
        let estimate = self
            .servers
            .get(&server)
            .filter(|estimate| estimate.latency_factor.samples >= MIN_SAMPLES)?;
        Some(estimate.latency_factor.value / self.mean_latency_factor.value.max(MIN_LATENCY_FACTOR))
    }
}

#[cfg(test)]
mod tests;
