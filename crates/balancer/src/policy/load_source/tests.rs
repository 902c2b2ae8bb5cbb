use super::LoadSource;
use crate::{Fees, HostCapabilities, Settings};

fn source(health_check_fee: f64, host: HostCapabilities) -> LoadSource {
    let settings = Settings {
        fees: Fees {
            health_check: health_check_fee,
            ..Fees::default()
        },
        host,
        ..Settings::default()
    };
    settings.load_source()
}

fn all_reports() -> HostCapabilities {
    HostCapabilities {
        load_reports: true,
        load_reports_in_responses: true,
        ..HostCapabilities::default()
    }
}

#[test]
fn cheap_health_checks_with_reports_come_before_reports_in_responses() {
    assert_eq!(source(0.005, all_reports()), LoadSource::LoadChecks);
}

#[test]
fn costly_health_checks_leave_reports_in_responses() {
    assert_eq!(source(0.006, all_reports()), LoadSource::Responses);
}

#[test]
fn nothing_tells_of_load_without_reports_that_are_fetched() {
    let costly_only = HostCapabilities {
        load_reports: true,
        ..HostCapabilities::default()
    };
    assert_eq!(source(0.006, costly_only), LoadSource::Unknown);
    let no_checks = HostCapabilities {
        health_checks: false,
        ..costly_only
    };
    assert_eq!(source(0.0, no_checks), LoadSource::Unknown);
}
