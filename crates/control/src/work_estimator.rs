//! Estimates the work of each request class and the relative latency of each server.
//!
//! Response times that include queueing are a poor measure of work. Therefore only attempts are
//! sampled whose server had an empty queue by its latest load report. For these,
//!
//! ```text
//! work(class)            = mean of  response time / (latency factor(server) / mean latency factor)
//! latency factor(server) = mean of  response time / work(class)
//! mean latency factor    = mean of  latency factor(server)
//! ```
//!
//! Each mean is an exponential moving average in which a sample is clipped to `MAX_SAMPLE_RATIO`
//! times the current value. The factors are normalized by their own mean because an increase of all
//! works combined with a decrease of all factors would otherwise fit the samples equally well.
//! `docs/losses.md` describes the accuracy of the estimates and the alternatives considered.
//!
//! [`WorkAwareBalancer`](crate::WorkAwareBalancer) tracks which requests and attempts are open.

use std::collections::BTreeMap;

use arrowstand_balancer::{ClassId, LoadReport, Micros, ServerId};

use crate::convert::{f64_from_micros, truncate_to_micros};

/// Maximum age in microseconds of a load report that is used as the server's queue length; attempts
/// sent later are not sampled. Queues change within tens of milliseconds, so a larger value would
/// sample attempts that queued. A smaller value would sample few attempts.
const MAX_REPORT_AGE: Micros = 20_000;
/// Queue length below which a server counts as idle; less than one because reports are noisy. At or
/// above it an attempt may have to queue and is not sampled.
const IDLE_QUEUE_THRESHOLD: f64 = 0.5;
/// Number of samples from which an estimate is available.
const MIN_SAMPLES: u32 = 20;
/// Number of initial samples that are not clipped by [`MAX_SAMPLE_RATIO`]. The mean of so few
/// samples is not a reliable reference, and clipping by it would keep it near the first sample.
const UNCLIPPED_SAMPLES: u32 = 5;
/// Smoothing factor of the work of a class: the weight of a new sample once there are more than
/// `1 / factor` samples. Before that, the mean is the arithmetic mean. A larger factor follows
/// changes faster and is noisier.
const WORK_SMOOTHING_FACTOR: f64 = 0.01;
/// Smoothing factor of the latency factor of a server; larger because servers change faster than
/// request classes.
const LATENCY_SMOOTHING_FACTOR: f64 = 0.05;
/// Limit on a sample, as a multiple of the current mean. If one request in fifty has 26 times the
/// work of the others, these requests then shift the mean by a few percent instead of by half. With
/// a larger limit they shift it further; with a smaller limit the mean follows an increase more
/// slowly. The ratio of a response time to the work of its class has the same limit. See
/// `docs/losses.md`, on knowing the work.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Lower limit on a latency factor used as a divisor: a twentieth of an average server's. Dividing
/// by a factor near zero would make the computed work grow without limit.
const MIN_LATENCY_FACTOR: f64 = 0.05;
/// Maximum number of servers with an estimate; above it, the server with the oldest load report is
/// evicted. This bounds memory as servers are replaced, and is far above the size of a subset.
const MAX_SERVERS: usize = 4_096;

/// State of the server when an attempt was sent. The caller keeps it until the attempt ends.
#[derive(Clone, Copy, Debug)]
pub struct SendContext {
    server: ServerId,
    /// A recent load report showed an empty queue, so the attempt is sampled.
    server_idle: bool,
}

/// An exponential moving average whose samples are clipped to a multiple of the current mean.
#[derive(Clone, Copy, Debug, Default)]
struct ClippedMean {
    samples: u32,
    value: f64,
}

impl ClippedMean {
    /// Records a sample, clipped to [`MAX_SAMPLE_RATIO`] times the current mean.
    fn record(&mut self, sample: f64, smoothing_factor: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = smoothing_factor.max(1.0 / f64::from(self.samples));
        let clipped = if self.samples > UNCLIPPED_SAMPLES {
            sample.min(MAX_SAMPLE_RATIO * self.value)
        } else {
            sample
        };
        self.value += weight * (clipped - self.value);
    }

    /// True once the mean may be used as an estimate.
    fn has_enough_samples(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

/// Estimated state of one server.
#[derive(Clone, Copy, Debug)]
struct ServerEstimate {
    /// Queue length by the latest load report, plus an allowance for the attempts sent since.
    queue_length: f64,
    /// Time of the latest load report.
    reported_at: Micros,
    latency_factor: ClippedMean,
}

impl ServerEstimate {
    /// A server before its first load report, with the latency of an average server.
    const INITIAL: Self = Self {
        queue_length: 0.0,
        reported_at: 0,
        latency_factor: ClippedMean {
            samples: 0,
            value: 1.0,
        },
    };
}

/// Estimates of work by request class and of latency by server.
#[derive(Clone, Debug, Default)]
pub struct WorkEstimator {
    work_by_class: Vec<ClippedMean>,
    servers: BTreeMap<ServerId, ServerEstimate>,
    /// Mean over the sampled attempts of the latency factor of the server.
    mean_latency_factor: ClippedMean,
}

impl WorkEstimator {
    /// Creates an estimator without samples.
    pub fn new(class_count: usize) -> Self {
        Self {
            work_by_class: vec![ClippedMean::default(); class_count],
            ..Self::default()
        }
    }

    /// Records a load report of a server. A report with a non-finite queue length is ignored.
    pub fn on_load_report(&mut self, now: Micros, server: ServerId, report: LoadReport) {
        if !report.queued.is_finite() {
            return;
        }
        let estimate = self
            .servers
            .entry(server)
            .or_insert(ServerEstimate::INITIAL);
        estimate.queue_length = report.queued;
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

    /// Records that an attempt is sent to a server. The returned context must be passed to
    /// [`on_attempt_served`](Self::on_attempt_served) if the attempt is served.
    pub fn on_attempt_started(&mut self, now: Micros, server: ServerId) -> SendContext {
        let Some(estimate) = self.servers.get_mut(&server) else {
            return SendContext {
                server,
                server_idle: false,
            };
        };
        let recent = now.saturating_sub(estimate.reported_at) <= MAX_REPORT_AGE;
        let server_idle = recent && estimate.queue_length < IDLE_QUEUE_THRESHOLD;
        // Until the next load report, another attempt may have to queue behind this one.
        estimate.queue_length += IDLE_QUEUE_THRESHOLD;
        SendContext {
            server,
            server_idle,
        }
    }

    /// Records that an attempt was served `elapsed` microseconds after it was sent.
    pub fn on_attempt_served(&mut self, class: ClassId, sent: &SendContext, elapsed: Micros) {
        if !sent.server_idle {
            return;
        }
        let elapsed = f64_from_micros(elapsed);
        let latency_factor = self.latency_divisor(sent.server);
        let Some(work) = self.work_by_class.get_mut(usize::from(class.0)) else {
            return;
        };
        self.mean_latency_factor
            .record(latency_factor, WORK_SMOOTHING_FACTOR);
        let mean = self.mean_latency_factor.value.max(MIN_LATENCY_FACTOR);
        work.record(elapsed / (latency_factor / mean), WORK_SMOOTHING_FACTOR);
        let expected = work.value;
        if work.has_enough_samples() && expected > 0.0 {
            self.record_latency(sent.server, elapsed / expected);
        }
    }

    /// Divisor of a server's response times; 1 for a server without an estimate.
    fn latency_divisor(&self, server: ServerId) -> f64 {
        self.servers
            .get(&server)
            .map_or(1.0, |estimate| estimate.latency_factor.value)
            .max(MIN_LATENCY_FACTOR)
    }

    /// Records the ratio of an attempt's response time to the work of its class.
    fn record_latency(&mut self, server: ServerId, ratio: f64) {
        if let Some(estimate) = self.servers.get_mut(&server) {
            let ratio = ratio.min(MAX_SAMPLE_RATIO);
            estimate
                .latency_factor
                .record(ratio, LATENCY_SMOOTHING_FACTOR);
        }
    }

    /// Expected work of a request of a class, in microseconds on an average server. `None` until
    /// every class has enough samples, because the balancer compares the work of different classes.
    pub fn expected_work(&self, class: ClassId) -> Option<Micros> {
        let work = self.work_by_class.get(usize::from(class.0))?;
        let all_known = self
            .work_by_class
            .iter()
            .all(ClippedMean::has_enough_samples);
        (all_known && work.value >= 1.0).then_some(truncate_to_micros(work.value))
    }

    /// Response time of a server relative to an average server; `None` until it has enough samples.
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
