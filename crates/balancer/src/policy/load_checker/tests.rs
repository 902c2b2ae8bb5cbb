use super::{LoadCheckResult, LoadChecker, ReportValidity};
use crate::fleet::Fleet;
use crate::policy::load_source::LoadSource;
use crate::policy::test_support::{
    FIRST, MS, SECOND, fail_health_check, fleet, request, send, settings_with_load_checks,
};
use crate::state::{RequestState, ServerIndex};
use crate::{LoadReport, ServerId};

fn report(in_flight: f64) -> LoadReport {
    LoadReport {
        in_flight,
        queued: 0.0,
    }
}

fn report_load(fleet: &mut Fleet, server: ServerIndex, in_flight: f64) {
    let now = fleet.now;
    fleet.servers[server].on_load_report(in_flight, LoadSource::LoadChecks, now);
}

/// A request with load checks of the first three servers.
fn request_with_load_checks(fleet: &Fleet) -> RequestState {
    let mut request = request(fleet);
    request.on_load_checks_started((0..3).map(ServerId).collect());
    request
}

fn least_loaded(fleet: &Fleet, request: &RequestState) -> Vec<ServerIndex> {
    match LoadChecker::least_loaded(fleet, request) {
        LoadCheckResult::LeastLoaded(servers) => servers,
        LoadCheckResult::NotChecked => panic!("no load checks"),
    }
}

#[test]
fn more_servers_are_checked_at_higher_utilization() {
    let mut fleet = fleet(settings_with_load_checks(), 20);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut checked_count = |fleet: &Fleet| {
        let candidates = fleet.servers.indices().collect();
        LoadChecker::choose_servers(fleet, candidates, &mut rng).len()
    };
    // ln(0.05) / ln(0.5) is 4.3.
    assert_eq!(checked_count(&fleet), 4);
    (0..200).for_each(|_| fleet.estimators.utilization.on_load_report(0.0));
    assert_eq!(checked_count(&fleet), 2);
    (0..200).for_each(|_| fleet.estimators.utilization.on_load_report(1.0));
    assert_eq!(checked_count(&fleet), 8);
}

#[test]
fn least_loaded_are_the_reporting_servers_within_a_quarter_of_a_request_of_the_minimum() {
    let mut fleet = fleet(settings_with_load_checks(), 3);
    let request = request_with_load_checks(&fleet);
    report_load(&mut fleet, FIRST, 1.2);
    report_load(&mut fleet, SECOND, 1.0);
    // The last report of the third server says idle, but is older than the request.
    let third = &mut fleet.servers[ServerIndex(2)];
    third.load.on_health_check_report(0.0, 0.0, 0);
    assert_eq!(least_loaded(&fleet, &request), [FIRST, SECOND]);
    report_load(&mut fleet, FIRST, 1.3);
    assert_eq!(least_loaded(&fleet, &request), [SECOND]);
}

#[test]
fn only_idle_servers_are_preferred_when_most_health_checks_fail() {
    let mut fleet = fleet(settings_with_load_checks(), 10);
    let request = request_with_load_checks(&fleet);
    report_load(&mut fleet, FIRST, 1.0);
    assert_eq!(least_loaded(&fleet, &request), [FIRST]);
    (3..9).for_each(|n| fail_health_check(&mut fleet, ServerIndex(n)));
    assert_eq!(least_loaded(&fleet, &request), []);
    report_load(&mut fleet, SECOND, 0.0);
    assert_eq!(least_loaded(&fleet, &request), [SECOND]);
}

#[test]
fn request_without_load_checks_has_no_result() {
    let fleet = fleet(settings_with_load_checks(), 1);
    let result = LoadChecker::least_loaded(&fleet, &request(&fleet));
    assert_eq!(result, LoadCheckResult::NotChecked);
}

#[test]
fn report_below_the_attempts_in_flight_before_the_check_is_rejected() {
    let mut fleet = fleet(settings_with_load_checks(), 1);
    send(&mut fleet, FIRST, 1);
    send(&mut fleet, FIRST, 2);
    fleet.now += MS;
    let now = fleet.now;
    fleet.servers[FIRST].health_check.on_started(now);
    send(&mut fleet, FIRST, 3);
    let validate = |source, in_flight| {
        LoadChecker::validate_report(source, &fleet.servers[FIRST], report(in_flight))
    };
    let accepted = |in_flight| ReportValidity::Accepted { in_flight };
    assert_eq!(validate(LoadSource::LoadChecks, 2.0), accepted(2.0));
    let contradiction = ReportValidity::ContradictsOwnAttempts;
    assert_eq!(validate(LoadSource::LoadChecks, 1.0), contradiction);
    // Load reports in responses are delayed, so they are not compared with attempts in flight.
    assert_eq!(validate(LoadSource::Responses, 1.0), accepted(1.0));
    for malformed in [-1.0, f64::NAN, f64::INFINITY] {
        let validity = validate(LoadSource::Responses, malformed);
        assert_eq!(validity, ReportValidity::Malformed, "{malformed}");
    }
}
