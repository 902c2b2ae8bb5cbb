//! The service figure: the value that was served, as a share of the value that arrivals offered.
//!
//! Sums the value by class, tenant and second, and combines the shares to one weighted mean. A late
//! response is credited with the `late_value` of its class.

use super::arrival::{ArrivalResult, OpenArrival};
use crate::conversion::{f64_from_count, s_from_micros, second_ceil, second_floor};
use crate::index::{ClassIndex, TenantIndex};
use crate::scenario::Micros;

/// Weights of the four parts of the service figure: the whole run, the worst window, the worst
/// class and the worst tenant. The benchmark defines them.
const SERVICE_WEIGHTS: [f64; 4] = [0.25, 0.45, 0.20, 0.10];
/// Length of the worst window, in seconds.
const WORST_WINDOW_S: usize = 10;
/// Share of the service before the first restart at which the service counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Length of the window that must reach this share, in seconds.
const RECOVERY_WINDOW_S: usize = 2;

/// Total value of arrivals, and the part of it that counts as served.
#[derive(Clone, Copy, Default)]
struct ValueSum {
    offered: f64,
    credited: f64,
}

impl ValueSum {
    fn add(&mut self, value: f64, credited_share: f64) {
        self.offered += value;
        self.credited += value * credited_share;
    }

    /// The credited share; `None` without arrivals.
    fn share(self) -> Option<f64> {
        (self.offered > 0.0).then(|| self.credited / self.offered)
    }
}

fn total_share(values: &[ValueSum]) -> Option<f64> {
    let sum = |part: fn(&ValueSum) -> f64| values.iter().map(part).sum::<f64>();
    let total = ValueSum {
        offered: sum(|value| value.offered),
        credited: sum(|value| value.credited),
    };
    total.share()
}

/// The lowest share; 1 if there are none.
fn lowest(shares: impl Iterator<Item = f64>) -> f64 {
    let lowest = shares.fold(f64::INFINITY, f64::min);
    if lowest.is_finite() { lowest } else { 1.0 }
}

/// The four parts of the service figure, which is their weighted mean.
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
            .zip(SERVICE_WEIGHTS)
            .map(|(part, weight)| part * weight);
        weighted.sum()
    }
}

/// Value of the arrivals that have ended.
pub(super) struct ServiceStatistics {
    total: ValueSum,
    by_class: Vec<ValueSum>,
    /// Only arrivals within their tenant's quota.
    by_tenant: Vec<ValueSum>,
    by_second: Vec<ValueSum>,
    /// Value that was not credited to arrivals that ended after their latency objective.
    value_lost_late: f64,
}

impl ServiceStatistics {
    pub(super) fn new(classes: usize, tenants: usize, seconds: usize) -> Self {
        Self {
            total: ValueSum::default(),
            by_class: vec![ValueSum::default(); classes],
            by_tenant: vec![ValueSum::default(); tenants],
            by_second: vec![ValueSum::default(); seconds],
            value_lost_late: 0.0,
        }
    }

    /// Adds an arrival of a known class.
    pub(super) fn on_arrival_ended(&mut self, arrival: &OpenArrival, result: &ArrivalResult) {
        if !result.in_time && result.past_objective {
            self.value_lost_late += arrival.value * (1.0 - result.credited_share);
        }
        self.total.add(arrival.value, result.credited_share);
        self.by_class[arrival.class.index()].add(arrival.value, result.credited_share);
        let tenant = self.by_tenant.get_mut(arrival.tenant.index());
        if let Some(tenant) = tenant.filter(|_| arrival.within_quota) {
            tenant.add(arrival.value, result.credited_share);
        }
        if let Some(second) = self.by_second.get_mut(second_floor(arrival.at)) {
            second.add(arrival.value, result.credited_share);
        }
    }

    pub(super) fn class_service(&self, class: ClassIndex) -> Option<f64> {
        self.by_class[class.index()].share()
    }

    pub(super) fn tenant_service(&self, tenant: TenantIndex) -> Option<f64> {
        self.by_tenant[tenant.index()].share()
    }

    /// Cost of the value that arrivals lost by ending late, as a share of the offered value.
    pub(super) fn late_cost(&self, price: f64) -> f64 {
        price * self.value_lost_late / self.total.offered.max(f64::MIN_POSITIVE)
    }

    /// The parts of the service figure of a run with the given number of whole seconds.
    pub(super) fn parts(&self, whole_seconds: usize) -> ServiceParts {
        let shares = |values: &[ValueSum]| lowest(values.iter().filter_map(|value| value.share()));
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
        let windows = seconds.windows(WORST_WINDOW_S.min(length));
        lowest(windows.filter_map(total_share))
    }

    /// Seconds from the last restart until the service is back at [`RECOVERED_SHARE`] of its level
    /// before the first restart; `None` without a restart or a recovery.
    pub(super) fn recovery_s(&self, restarts: &[Micros]) -> Option<f64> {
        let first = *restarts.first()?;
        let last = *restarts.last()?;
        let share = |from: usize, to: usize| {
            total_share(self.by_second.get(from..to.min(self.by_second.len()))?)
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
