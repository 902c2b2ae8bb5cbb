//! The value that was served in time, as a share of the value that arrived.
//!
//! Owns the sums of value and their weighting into one figure.

use super::arrival::{Gain, OpenArrival};
use crate::conversion::{f64_from_count, s_from_micros, second_ceil, second_floor};
use crate::index::{ClassIndex, TenantIndex};
use crate::scenario::Micros;

/// Weights of the whole run, the worst window, the worst class and the worst tenant, as the
/// operators set them.
const WEIGHTS: [f64; 4] = [0.25, 0.45, 0.20, 0.10];
/// Seconds of the worst window.
const WINDOW_S: usize = 10;
/// Share of the service before a restart that counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Seconds that must give this share together.
const RECOVERY_WINDOW_S: usize = 2;

/// Value that arrived, and the part of it that was gained.
#[derive(Clone, Copy, Default)]
struct Value {
    arrived: f64,
    gained: f64,
}

impl Value {
    fn add(&mut self, value: f64, gained_share: f64) {
        self.arrived += value;
        self.gained += value * gained_share;
    }

    /// The gained share; nothing where nothing arrived.
    fn share(self) -> Option<f64> {
        (self.arrived > 0.0).then(|| self.gained / self.arrived)
    }
}

fn share_of_sum(values: &[Value]) -> Option<f64> {
    let sum = |part: fn(&Value) -> f64| values.iter().map(part).sum::<f64>();
    let total = Value {
        arrived: sum(|value| value.arrived),
        gained: sum(|value| value.gained),
    };
    total.share()
}

/// The lowest of the shares; 1 if there are none.
fn lowest(shares: impl Iterator<Item = f64>) -> f64 {
    let lowest = shares.fold(f64::INFINITY, f64::min);
    if lowest.is_finite() { lowest } else { 1.0 }
}

/// The parts of the service figure.
pub(super) struct ServiceParts {
    pub(super) overall: f64,
    pub(super) worst_window: f64,
    pub(super) worst_class: f64,
    pub(super) worst_tenant: f64,
}

impl ServiceParts {
    pub(super) fn weighted_mean(&self) -> f64 {
        let parts = [
            self.overall,
            self.worst_window,
            self.worst_class,
            self.worst_tenant,
        ];
        let weighted = parts
            .iter()
            .zip(WEIGHTS)
            .map(|(part, weight)| part * weight);
        weighted.sum()
    }
}

/// The value of the arrivals that have ended.
pub(super) struct Service {
    total: Value,
    by_class: Vec<Value>,
    /// Within the tenants' quotas.
    by_tenant: Vec<Value>,
    by_second: Vec<Value>,
    /// Value lost by what ended after its latency objective.
    lost_late: f64,
}

impl Service {
    pub(super) fn new(classes: usize, tenants: usize, seconds: usize) -> Self {
        Self {
            total: Value::default(),
            by_class: vec![Value::default(); classes],
            by_tenant: vec![Value::default(); tenants],
            by_second: vec![Value::default(); seconds],
            lost_late: 0.0,
        }
    }

    /// Adds an arrival of a known class.
    pub(super) fn on_arrival_ended(&mut self, arrival: &OpenArrival, gain: &Gain) {
        if !gain.in_time && gain.past_objective {
            self.lost_late += arrival.value * (1.0 - gain.share);
        }
        self.total.add(arrival.value, gain.share);
        self.by_class[arrival.class.index()].add(arrival.value, gain.share);
        let tenant = self.by_tenant.get_mut(arrival.tenant.index());
        if let Some(tenant) = tenant.filter(|_| arrival.within_quota) {
            tenant.add(arrival.value, gain.share);
        }
        if let Some(second) = self.by_second.get_mut(second_floor(arrival.at)) {
            second.add(arrival.value, gain.share);
        }
    }

    pub(super) fn of_class(&self, class: ClassIndex) -> Option<f64> {
        self.by_class[class.index()].share()
    }

    pub(super) fn of_tenant(&self, tenant: TenantIndex) -> Option<f64> {
        self.by_tenant[tenant.index()].share()
    }

    /// Price of the value lost by what ended late, per value that arrived.
    pub(super) fn late_cost(&self, price: f64) -> f64 {
        price * self.lost_late / self.total.arrived.max(f64::MIN_POSITIVE)
    }

    /// The parts of the service of a run of so many whole seconds.
    pub(super) fn parts(&self, whole_seconds: usize) -> ServiceParts {
        let shares = |values: &[Value]| lowest(values.iter().filter_map(|value| value.share()));
        ServiceParts {
            overall: self.total.share().unwrap_or(1.0),
            worst_window: self.worst_window(whole_seconds),
            worst_class: shares(&self.by_class),
            worst_tenant: shares(&self.by_tenant),
        }
    }

    fn worst_window(&self, whole_seconds: usize) -> f64 {
        let length = whole_seconds.max(1);
        let seconds = &self.by_second[..length.min(self.by_second.len())];
        let windows = seconds.windows(WINDOW_S.min(length));
        lowest(windows.filter_map(share_of_sum))
    }

    /// Seconds from the last restart until the service was what it had been before the first.
    pub(super) fn recovery_s(&self, restarts: &[Micros]) -> Option<f64> {
        let first = *restarts.first()?;
        let last = *restarts.last()?;
        let share = |from: usize, to: usize| {
            share_of_sum(self.by_second.get(from..to.min(self.by_second.len()))?)
        };
        let before = share(0, second_floor(first).max(1))?;
        let from = second_ceil(last);
        let recovered = |second: usize| {
            let now = share(second, second + RECOVERY_WINDOW_S);
            now.is_some_and(|now| now >= RECOVERED_SHARE * before)
        };
        let recovered_at = (from..self.by_second.len()).find(|&second| recovered(second))?;
        Some(f64_from_count(recovered_at) - s_from_micros(last))
    }
}
