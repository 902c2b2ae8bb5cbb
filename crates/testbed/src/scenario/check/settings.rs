//! Checks of discovery, permissions, load reports, rules and expectations.
//!
//! Prices, switches, `max_retry_after_ms` and `recovered_s` may have any value of their type.

use super::Checker;
use crate::scenario::Scenario;

impl Scenario {
    pub(super) fn check_settings(&self, checker: &mut Checker) {
        self.check_delays(checker);
        self.check_discovery_limits(checker);
        self.check_permission_times(checker);
        checker.positive(self.load_reports.every_ms, "load_reports.every_ms");
        self.check_rule_limits(checker);
        checker.require(
            self.permissions.max_attempts > 0,
            "permissions.max_attempts",
            "must be above zero",
        );
        checker.share(self.rules.over_share_weight, "rules.over_share_weight");
        self.check_expectations(checker);
    }

    /// Checks the times that may be 0.
    fn check_delays(&self, checker: &mut Checker) {
        let discovery = &self.discovery;
        checker.not_negative(discovery.notice_ms, "discovery.notice_ms");
        checker.not_negative(discovery.silent_notice_ms, "discovery.silent_notice_ms");
        checker.not_negative(discovery.add_ms, "discovery.add_ms");
        checker.not_negative(discovery.spread_ms, "discovery.spread_ms");
        let rules = &self.rules;
        checker.not_negative(rules.drain_grace_ms, "rules.drain_grace_ms");
        checker.not_negative(self.load_reports.delay_ms, "load_reports.delay_ms");
        checker.not_negative(rules.response_grace_ms, "rules.response_grace_ms");
        checker.not_negative(rules.emulator_extra_ms, "rules.emulator_extra_ms");
    }

    fn check_discovery_limits(&self, checker: &mut Checker) {
        let discovery = &self.discovery;
        checker.positive(discovery.capacity, "discovery.capacity");
        checker.positive(discovery.timeout_ms, "discovery.timeout_ms");
    }

    fn check_permission_times(&self, checker: &mut Checker) {
        let permissions = &self.permissions;
        let mut check = |time: f64, key: &str| checker.positive(time, format!("permissions.{key}"));
        check(permissions.idle_timeout_s, "idle_timeout_s");
        check(permissions.connect_timeout_ms, "connect_timeout_ms");
        check(
            permissions.health_check_timeout_ms,
            "health_check_timeout_ms",
        );
        check(permissions.max_poll_interval_ms, "max_poll_interval_ms");
    }

    fn check_rule_limits(&self, checker: &mut Checker) {
        let rules = &self.rules;
        checker.positive(rules.cold_overload_factor, "rules.cold_overload_factor");
        checker.positive(
            rules.cold_overload_window_ms,
            "rules.cold_overload_window_ms",
        );
        checker.positive(rules.quota_of_capacity, "rules.quota_of_capacity");
    }

    /// Absent expectations are checked as 0, which is in range.
    fn check_expectations(&self, checker: &mut Checker) {
        checker.share(self.expect.service.unwrap_or(0.0), "expect.service");
        checker.share(self.expect.served.unwrap_or(0.0), "expect.served");
    }
}
