//! How arrivals and requests ended, and the latency of the served arrivals.
//!
//! Keeps counts and histograms. `arrival` defines the value of an outcome.

use hdrhistogram::Histogram;
use rustc_hash::FxHashMap;

use super::arrival::ArrivalResult;
use crate::conversion::ms_from_micros;
use crate::event_log::RequestOutcome;
use crate::index::ClassIndex;
use crate::report::SecondFigures;

/// Quantiles of the latency that a report gives.
const REPORTED_QUANTILES: [f64; 5] = [0.5, 0.9, 0.99, 0.999, 1.0];
/// Longest latency that is measured, in microseconds: ten minutes, longer than any deadline.
const MAX_MEASURED_LATENCY: u64 = 600_000_000;
/// Significant decimal digits of a measured latency.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

type Counts = FxHashMap<RequestOutcome, u64>;

/// Outcomes and latencies of arrivals, and outcomes of requests.
pub(super) struct OutcomeStatistics {
    /// Arrivals by the second of their start.
    timeline: Vec<SecondFigures>,
    /// Arrivals by class and outcome.
    by_class: Vec<Counts>,
    latency: Histogram<u64>,
    class_latency: Vec<Histogram<u64>>,
    /// Accepted requests by outcome.
    responses: Counts,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MEASURED_LATENCY, LATENCY_SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("constant bounds that hdrhistogram accepts"))
}

fn quantiles_ms(latency: &Histogram<u64>) -> [f64; 5] {
    REPORTED_QUANTILES.map(|quantile| ms_from_micros(latency.value_at_quantile(quantile)))
}

fn sorted(counts: &Counts) -> Vec<(RequestOutcome, u64)> {
    let mut list: Vec<_> = counts.iter().map(|(&outcome, &n)| (outcome, n)).collect();
    list.sort();
    list
}

impl OutcomeStatistics {
    pub(super) fn new(classes: usize, seconds: usize) -> Self {
        Self {
            timeline: (0..seconds).map(|_| SecondFigures::new(classes)).collect(),
            by_class: vec![FxHashMap::default(); classes],
            latency: histogram(),
            class_latency: vec![histogram(); classes],
            responses: FxHashMap::default(),
        }
    }

    /// Counts an arrival of a known class that started in the given second.
    pub(super) fn on_arrival_ended(
        &mut self,
        second: usize,
        class: ClassIndex,
        outcome: RequestOutcome,
        result: &ArrivalResult,
    ) {
        if let Some(second) = self.timeline.get_mut(second) {
            second.add(class, outcome, result.in_time);
        }
        *self.by_class[class.index()].entry(outcome).or_default() += 1;
        if outcome == RequestOutcome::Served {
            self.latency.saturating_record(result.latency.max(1));
            self.class_latency[class.index()].saturating_record(result.latency.max(1));
        }
    }

    pub(super) fn on_response(&mut self, outcome: RequestOutcome) {
        *self.responses.entry(outcome).or_default() += 1;
    }

    pub(super) fn responses(&self) -> Vec<(RequestOutcome, u64)> {
        sorted(&self.responses)
    }

    pub(super) fn class_outcomes(&self, class: ClassIndex) -> Vec<(RequestOutcome, u64)> {
        sorted(&self.by_class[class.index()])
    }

    pub(super) fn latency_ms(&self) -> [f64; 5] {
        quantiles_ms(&self.latency)
    }

    pub(super) fn class_latency_ms(&self, class: ClassIndex) -> [f64; 5] {
        quantiles_ms(&self.class_latency[class.index()])
    }

    /// The given number of seconds from the start of the timeline.
    pub(super) fn timeline(&self, seconds: usize) -> Vec<SecondFigures> {
        self.timeline[..seconds.min(self.timeline.len())].to_vec()
    }
}
