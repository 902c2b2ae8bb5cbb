//! How many requests a scenario asks for, on the mean and at a moment.

use std::f64::consts::TAU;

use super::{FaultKind, LoadShape, Micros, Scenario};

impl Scenario {
    /// Mean work of a request, in seconds of a standard core.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.class.iter().map(|class| class.share).sum();
        self.class
            .iter()
            .map(|class| class.share * class.work_ms / 1_000.0)
            .sum::<f64>()
            / shares.max(f64::MIN_POSITIVE)
    }

    /// Requests a second, on the mean of the run.
    pub fn rate(&self) -> f64 {
        if self.load.rate > 0.0 {
            self.load.rate
        } else {
            self.load.of_capacity * self.full_rate()
        }
    }

    /// Requests a second that the warm fleet can serve.
    pub fn full_rate(&self) -> f64 {
        self.capacity() / self.mean_work().max(f64::MIN_POSITIVE)
    }

    /// Requests a second at a moment; `load_drift` lies between 0 and 1 and counts for
    /// [`LoadShape::Drift`].
    pub fn rate_at(&self, at: Micros, load_drift: f64) -> f64 {
        let seconds = at as f64 / 1e6;
        let burst = self.burst_factor(at);
        let mean = self.rate() * burst;
        match self.load.shape {
            LoadShape::Steady => mean,
            LoadShape::Ramp => mean * (0.5 + (seconds / self.seconds).min(1.0)),
            LoadShape::Swing => {
                let wave = (seconds / self.load.period_s * TAU).sin();
                mean * (1.0 + self.load.swing * wave)
            }
            LoadShape::Drift => {
                burst
                    * self.full_rate()
                    * (self.load.low
                        + (self.load.high - self.load.low) * load_drift.clamp(0.0, 1.0))
            }
        }
    }

    /// Product of the factors of the bursts that are on.
    fn burst_factor(&self, at: Micros) -> f64 {
        self.fault
            .iter()
            .filter(|fault| fault.kind == FaultKind::Burst && fault.is_on(at))
            .map(|fault| fault.factor)
            .product()
    }
}
