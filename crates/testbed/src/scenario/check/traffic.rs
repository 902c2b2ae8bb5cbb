//! Checks of classes, tenants, load and clients: ranges, sums of shares and the number of arrivals.

use super::Checker;
use crate::scenario::{Class, LoadShape, Scenario};

/// Maximum number of arrivals in a run, so that the simulator's time and memory stay reasonable.
const MAX_ARRIVALS: f64 = 50e6;
/// Tolerance for sums of shares above 1, because decimal fractions are rounded.
const SHARE_SUM_TOLERANCE: f64 = 1e-6;

impl Scenario {
    pub(super) fn check_traffic(&self, checker: &mut Checker) {
        self.check_classes(checker);
        self.check_tenants(checker);
        self.check_load(checker);
        self.check_arrival_count(checker);
        self.check_clients(checker);
    }

    fn check_classes(&self, checker: &mut Checker) {
        checker.require(!self.class.is_empty(), "class", "at least one is needed");
        let names = self.class.iter().map(|class| class.name.as_str());
        checker.unique_names(names, "class");
        for (i, class) in self.class.iter().enumerate() {
            check_class(checker, class, &format!("class[{i}]"));
        }
        let sum = self.class.iter().map(|class| class.share).sum();
        check_sum_of_shares(checker, sum, "class");
        checker.require(
            sum > 0.0,
            "class",
            "at least one class needs a share above zero",
        );
    }

    fn check_tenants(&self, checker: &mut Checker) {
        let names = self.tenant.iter().map(|tenant| tenant.name.as_str());
        checker.unique_names(names, "tenant");
        for (i, tenant) in self.tenant.iter().enumerate() {
            checker.share(tenant.share, format!("tenant[{i}].share"));
            checker.not_negative(tenant.usage, format!("tenant[{i}].usage"));
        }
        let sum = self.tenant.iter().map(|tenant| tenant.share).sum();
        check_sum_of_shares(checker, sum, "tenant");
    }

    fn check_load(&self, checker: &mut Checker) {
        let load = &self.load;
        checker.not_negative(load.rate, "load.rate");
        checker.not_negative(load.of_capacity, "load.of_capacity");
        checker.share(load.swing, "load.swing");
        checker.not_negative(load.work_hints.unwrap_or(0.0), "load.work_hints");
        checker.positive(load.period_s, "load.period_s");
        checker.not_negative(load.low, "load.low");
        let in_order = load.high >= load.low;
        checker.require(in_order, "load.high", "must not be below load.low");
        checker.require(
            load.max_open_requests > 0,
            "load.max_open_requests",
            "must be above zero",
        );
    }

    fn check_arrival_count(&self, checker: &mut Checker) {
        let highest_drift = if self.load.shape == LoadShape::Drift {
            self.load.high * self.capacity_rate()
        } else {
            0.0
        };
        let arrivals = self.mean_rate().max(highest_drift) * self.seconds;
        if arrivals.is_finite() {
            let message =
                format!("{arrivals:.0} arrivals in the run, at most {MAX_ARRIVALS:.0} are allowed");
            checker.require(arrivals <= MAX_ARRIVALS, "load", message);
        }
    }

    fn check_clients(&self, checker: &mut Checker) {
        let clients = &self.clients;
        let [shortest, longest] = clients.timeout_share;
        checker.require(
            shortest > 0.0 && shortest <= longest && longest <= 1.0,
            "clients.timeout_share",
            "must be two shares in ascending order, above 0 and at most 1",
        );
        let [shortest, longest] = clients.backoff_ms;
        let in_order = shortest >= 0.0 && shortest <= longest && longest.is_finite();
        checker.require(
            in_order,
            "clients.backoff_ms",
            "must be two finite times in ascending order, at least 0",
        );
        checker.share(clients.honour_retry_after, "clients.honour_retry_after");
        checker.share(clients.disconnect_share, "clients.disconnect_share");
    }
}

fn check_class(checker: &mut Checker, class: &Class, path: &str) {
    let key = |name: &str| format!("{path}.{name}");
    checker.share(class.share, key("share"));
    checker.positive(class.work_ms, key("work_ms"));
    checker.not_negative(class.cv, key("cv"));
    checker.not_negative(class.noise, key("noise"));
    checker.positive(class.latency_objective_ms, key("latency_objective_ms"));
    checker.require(
        class.deadline_ms >= class.latency_objective_ms,
        key("deadline_ms"),
        "must not be below latency_objective_ms",
    );
    checker.not_negative(class.priority_weight, key("priority_weight"));
    checker.share(class.late_value, key("late_value"));
    let window_key = key("deduplication_window_ms");
    checker.not_negative(class.deduplication_window_ms, window_key);
}

fn check_sum_of_shares(checker: &mut Checker, sum: f64, list: &str) {
    let message = format!("shares add up to {sum:.3}, which is above 1");
    checker.require(sum <= 1.0 + SHARE_SUM_TOLERANCE, list, message);
}
