//! Checks of discovery, permissions, load reports, rules and expectations.

use super::Checker;
use crate::scenario::Scenario;

impl Scenario {
    pub(super) fn check_settings(&self, checker: &mut Checker) {
        self.check_delays(checker);
        self.check_limits(checker);
        let attempts = self.permissions.max_attempts > 0;
        checker.require(attempts, "permissions.max_attempts", "must be above zero");
        checker.share(self.rules.over_share_weight, "rules.over_share_weight");
        checker.share(self.expect.service.unwrap_or(0.0), "expect.service");
        checker.share(self.expect.served.unwrap_or(0.0), "expect.served");
    }

    /// Figures that may be 0.
    fn check_delays(&self, checker: &mut Checker) {
        let (discovery, rules) = (&self.discovery, &self.rules);
        for (value, key) in [
            (discovery.notice_ms, "discovery.notice_ms"),
            (discovery.silent_notice_ms, "discovery.silent_notice_ms"),
            (discovery.add_ms, "discovery.add_ms"),
            (discovery.spread_ms, "discovery.spread_ms"),
            (rules.drain_grace_ms, "rules.drain_grace_ms"),
            (self.load_reports.delay_ms, "load_reports.delay_ms"),
            (rules.response_grace_ms, "rules.response_grace_ms"),
            (rules.emulator_extra_ms, "rules.emulator_extra_ms"),
        ] {
            checker.not_negative(value, key);
        }
    }

    /// Figures that must not be 0.
    fn check_limits(&self, checker: &mut Checker) {
        let (discovery, rules) = (&self.discovery, &self.rules);
        checker.positive(discovery.capacity, "discovery.capacity");
        checker.positive(discovery.timeout_ms, "discovery.timeout_ms");
        self.check_permitted_times(checker);
        checker.positive(self.load_reports.every_ms, "load_reports.every_ms");
        checker.positive(rules.cold_overload_factor, "rules.cold_overload_factor");
        let window = rules.cold_overload_window_ms;
        checker.positive(window, "rules.cold_overload_window_ms");
        checker.positive(rules.quota_of_capacity, "rules.quota_of_capacity");
    }

    fn check_permitted_times(&self, checker: &mut Checker) {
        let permissions = &self.permissions;
        let health_check_timeout = permissions.health_check_timeout_ms;
        for (value, key) in [
            (permissions.idle_timeout_s, "permissions.idle_timeout_s"),
            (
                permissions.connect_timeout_ms,
                "permissions.connect_timeout_ms",
            ),
            (health_check_timeout, "permissions.health_check_timeout_ms"),
            (
                permissions.max_poll_interval_ms,
                "permissions.max_poll_interval_ms",
            ),
        ] {
            checker.positive(value, key);
        }
    }
}
