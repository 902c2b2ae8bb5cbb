//! The arrival rate of a scenario, on average and at a given time.
//!
//! Computes load shapes, bursts and rates relative to capacity. Nothing here is random; `workload`
//! draws arrivals at these rates.

use std::f64::consts::TAU;

use super::time::s_from_micros;
use super::{FaultKind, LoadShape, Micros, Scenario};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;
/// Rate at the start of a ramp, as a multiple of the mean. The ramp rises by one mean over the run.
const RAMP_START_FACTOR: f64 = 0.5;

impl Scenario {
    /// Mean work of a request over all classes, in seconds of a standard core.
    pub fn mean_work_s(&self) -> f64 {
        let shares: f64 = self.class.iter().map(|class| class.share).sum();
        let work: f64 = self
            .class
            .iter()
            .map(|class| class.share * class.work_ms / MS_PER_S)
            .sum();
        work / shares.max(f64::MIN_POSITIVE)
    }

    /// Mean rate over the run without bursts, in requests per second.
    pub fn mean_rate(&self) -> f64 {
        if self.load.rate > 0.0 {
            self.load.rate
        } else {
            self.load.of_capacity * self.capacity_rate()
        }
    }

    /// Requests per second that the warm fleet can serve.
    pub fn capacity_rate(&self) -> f64 {
        self.capacity() / self.mean_work_s().max(f64::MIN_POSITIVE)
    }

    /// Requests per second at a time, in microseconds from the start. `load_drift` lies between 0
    /// and 1 and is used by [`LoadShape::Drift`] only.
    pub fn rate_at(&self, at: Micros, load_drift: f64) -> f64 {
        let burst = self.burst_factor(at);
        let mean = self.mean_rate() * burst;
        match self.load.shape {
            LoadShape::Steady => mean,
            LoadShape::Ramp => {
                mean * (RAMP_START_FACTOR + (s_from_micros(at) / self.seconds).min(1.0))
            }
            LoadShape::Swing => {
                let wave = (s_from_micros(at) / self.load.period_s * TAU).sin();
                mean * (1.0 + self.load.swing * wave)
            }
            LoadShape::Drift => burst * self.capacity_rate() * self.drift_share(load_drift),
        }
    }

    /// Load as a share of capacity for a drift between 0 and 1.
    fn drift_share(&self, load_drift: f64) -> f64 {
        let range = self.load.high - self.load.low;
        self.load.low + range * load_drift.clamp(0.0, 1.0)
    }

    /// Product of the factors of all active bursts.
    fn burst_factor(&self, at: Micros) -> f64 {
        self.fault
            .iter()
            .filter(|fault| fault.kind == FaultKind::Burst && fault.is_active(at))
            .map(|fault| fault.factor)
            .product()
    }
}
