//! Measures how late the emulator runs its scheduled events.
//!
//! A run on a machine that fell behind is reported as unreliable and fails; its figures are not
//! corrected.

#[cfg(test)]
mod tests;

use std::sync::Mutex;

use hdrhistogram::Histogram;

use super::lock::lock;
use crate::conversion::{f64_from_u64, ms_from_micros};
use crate::scenario::Micros;

/// Lag, in microseconds, from which an arrival or a timer counts as late. Half of what the auditor
/// allows the emulator on each time limit by default.
const LATE_THRESHOLD: Micros = 25_000;
/// Share of late events above which the figures are unreliable.
const MAX_LATE_SHARE: f64 = 0.01;
/// Longest lag that is measured, in microseconds: ten minutes, longer than any run.
const MAX_MEASURED_LAG: Micros = 600_000_000;
/// Significant digits of a measured lag.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Distribution of the time between when an event was due and when it ran, in microseconds.
pub(super) struct ScheduleLag {
    lags: Mutex<Histogram<u64>>,
}

impl Default for ScheduleLag {
    fn default() -> Self {
        let lags = Histogram::new_with_bounds(1, MAX_MEASURED_LAG, SIGNIFICANT_DIGITS)
            .unwrap_or_else(|_| unreachable!("fixed bounds that hdrhistogram accepts"));
        Self {
            lags: Mutex::new(lags),
        }
    }
}

impl ScheduleLag {
    /// Records that an event due at `due` ran at `ran`.
    pub(super) fn record(&self, due: Micros, ran: Micros) {
        let lag = ran.saturating_sub(due);
        lock(&self.lags).saturating_record(lag.max(1));
    }

    /// Why the figures are unreliable; `None` if the machine kept up.
    pub(super) fn unreliable_reason(&self) -> Option<String> {
        let lags = lock(&self.lags);
        let late = lags.count_between(LATE_THRESHOLD, lags.high());
        (f64_from_u64(late) > MAX_LATE_SHARE * f64_from_u64(lags.len())).then(|| {
            let worst = ms_from_micros(lags.value_at_quantile(1.0 - MAX_LATE_SHARE));
            format!("the machine ran late: 1 % of what was due was done {worst:.0} ms late or more")
        })
    }
}
