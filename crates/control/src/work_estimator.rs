//! Estimates the work of each request class and the relative latency of each server.
//!
//! The response time of a request that had to queue says little about its work. Therefore only
//! attempts count that went to a server whose latest load report showed an empty queue. Of those,
//!
//! ```text
//! work(class)            = mean of  response time / (latency factor(server) / mean latency factor)
//! latency factor(server) = mean of  response time / work(class)
//! mean latency factor    = mean of  latency factor(server)
//! ```
//!
//! Each is a moving mean in which one sample counts as at most `MAX_SAMPLE_RATIO` times the present
//! value. The factors are taken relative to their own mean, since work that rises while all factors
//! fall would fit every sample equally well. What the estimates are worth is told in
//! `docs/losses.md`, with the options that were considered.
//!
//! This module owns these estimates. Which requests and attempts exist is tracked by
//! [`WorkAwareBalancer`](crate::WorkAwareBalancer).

use std::collections::BTreeMap;

use arrowstand_balancer::{ClassId, LoadReport, Micros, ServerId};

use crate::convert::{f64_from_micros, truncate_to_micros};

/// Microseconds for which a load report describes a server's queue; attempts that are sent later do
/// not count. Longer, and attempts that queued would count as work, since queues change within tens
/// of milliseconds; shorter, and few attempts would count. Chosen, not measured.
const MAX_REPORT_AGE: Micros = 20_000;
/// Queued requests below which a server counts as idle: less than one, as reports are noisy. From
/// here on an attempt may have to wait and does not count.
const MAX_IDLE_QUEUE: f64 = 0.5;
/// Samples from which on an estimate is used; below, there is none. Chosen, not measured.
const MIN_SAMPLES: u32 = 20;
/// Samples that a mean takes in as they are; later ones are bounded by [`MAX_SAMPLE_RATIO`]. Of so
/// few the mean is no measure of what to expect, and a bound by it would keep it near the first.
const UNBOUNDED_SAMPLES: u32 = 5;
/// Weight of a new sample in the work of a class, once there are more than its inverse; before, a
/// sample weighs as in the plain mean. Larger follows changes faster and is noisier. Chosen, not
/// measured.
const WORK_SAMPLE_WEIGHT: f64 = 0.01;
/// The same for the latency factor of a server: larger, as servers change faster than classes do.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.05;
/// Most that one sample counts as, in multiples of the present mean. A costly request in fifty, 26
/// times the usual work, then moves the mean by a few per cent and not by half; with a larger
/// multiple it moves it further, with a smaller one the mean is slow to follow a rise. A response
/// time relative to the work of its class is bounded by it too. Source: `docs/losses.md`, on
/// knowing the work.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Smallest latency factor that is divided by: a twentieth of an average server's. A factor near
/// zero would make the work that is computed from it grow without bound.
const MIN_LATENCY_FACTOR: f64 = 0.05;
/// Servers of which something is kept; beyond, the one with the oldest load report is evicted.
/// Bounds the memory where servers come and go; far above the size of a subset.
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

    /// True once the mean is used as an estimate.
    fn has_enough_samples(&self) -> bool {
        self.samples >= MIN_SAMPLES
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
    /// Mean latency factor of the servers that served the counted attempts, by attempt.
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
        if !sent.server_idle {
            return;
        }
        let elapsed = f64_from_micros(elapsed);
        let latency_factor = self.server_latency_factor(sent.server);
        let Some(work) = self.work_by_class.get_mut(usize::from(class.0)) else {
            return;
        };
        self.mean_latency_factor
            .record(latency_factor, WORK_SAMPLE_WEIGHT);
        let mean = self.mean_latency_factor.value.max(MIN_LATENCY_FACTOR);
        work.record(elapsed / (latency_factor / mean), WORK_SAMPLE_WEIGHT);
        let expected = work.value;
        if work.has_enough_samples() && expected > 0.0 {
            self.record_latency(sent.server, elapsed / expected);
        }
    }

    /// What a server's response times are divided by; 1 for one of which nothing is known.
    fn server_latency_factor(&self, server: ServerId) -> f64 {
        self.servers
            .get(&server)
            .map_or(1.0, |estimate| estimate.latency_factor.value)
            .max(MIN_LATENCY_FACTOR)
    }

    /// Records the ratio of an attempt's response time to the work of its class.
    fn record_latency(&mut self, server: ServerId, ratio: f64) {
        if let Some(estimate) = self.servers.get_mut(&server) {
            let ratio = ratio.min(MAX_SAMPLE_RATIO);
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
            .all(BoundedMean::has_enough_samples);
        (all_known && work.value >= 1.0).then_some(truncate_to_micros(work.value))
    }

    /// Response time of a server relative to an average one; `None` until it has enough samples.
    pub fn latency_factor(&self, server: ServerId) -> Option<f64> {
        let estimate = self
            .servers
            .get(&server)
            .filter(|estimate| estimate.latency_factor.has_enough_samples())?;
        Some(estimate.latency_factor.value / self.mean_latency_factor.value.max(MIN_LATENCY_FACTOR))
    }
}

#[cfg(test)]
mod tests;
