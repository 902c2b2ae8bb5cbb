use super::ResponseForecast;
use crate::fleet::Fleet;
use crate::policy::test_support::{
    FIRST, fleet, record_arrivals, request, request_with_work, restart, send,
    settings_with_load_in_responses,
};

/// A fleet with the given number of requests in flight at the first server. The mean service time
/// is 31 ms: an eighth of the objective of 250 ms.
fn fleet_with_requests_in_flight(in_flight: u64) -> Fleet {
    let mut fleet = fleet(settings_with_load_in_responses(), 2);
    (0..in_flight).for_each(|request| send(&mut fleet, FIRST, request));
    fleet
}

fn misses_objective(fleet: &Fleet, relative_work: f64) -> bool {
    let request = request_with_work(fleet, relative_work);
    ResponseForecast::new(fleet, &request).misses_objective(&fleet.servers[FIRST])
}

#[test]
fn queue_may_take_60_percent_of_the_time_left() {
    // 0.6 of 250 ms is 150 ms: four requests of 31 ms, but not five, nor four of twice the work.
    assert!(!misses_objective(&fleet_with_requests_in_flight(3), 1.0));
    assert!(misses_objective(&fleet_with_requests_in_flight(4), 1.0));
    assert!(misses_objective(&fleet_with_requests_in_flight(3), 2.0));
}

#[test]
fn idle_server_is_exempt_unless_it_is_in_slow_start() {
    let mut fleet = fleet_with_requests_in_flight(0);
    assert!(!misses_objective(&fleet, 1_000.0));
    restart(&mut fleet, FIRST);
    assert!(misses_objective(&fleet, 1_000.0));
}

#[test]
fn deadline_is_missed_later_than_the_objective() {
    let fleet = fleet_with_requests_in_flight(6);
    let request = request(&fleet);
    let forecast = ResponseForecast::new(&fleet, &request);
    assert!(forecast.misses_objective(&fleet.servers[FIRST]));
    assert!(!forecast.misses_deadline(&fleet.servers[FIRST]));
}

#[test]
fn request_of_high_value_may_take_78_percent_of_the_time_left() {
    let misses = |in_flight| {
        let mut fleet = fleet_with_requests_in_flight(in_flight);
        record_arrivals(&mut fleet, 1);
        fleet.settings.classes[0].priority_weight = 1_000.0;
        misses_objective(&fleet, 1.0)
    };
    // 0.78 of 250 ms is 195 ms: six requests of 31 ms, but not seven.
    assert!(!misses(5));
    assert!(misses(6));
}
