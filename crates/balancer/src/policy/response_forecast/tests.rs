use super::ResponseForecast;
use crate::fleet::Fleet;
use crate::policy::test_support::{
    FIRST, MS, class, fleet, incoming, request, request_of_work, restart, send,
    settings_with_load_in_responses,
};
use crate::state::RequestState;
use crate::{RequestClass, Settings};

/// A fleet whose mean service time is 31 ms: an eighth of the objective of 250 ms.
fn fleet_with_requests_in_flight(in_flight: u64) -> Fleet {
    let mut fleet = fleet(settings_with_load_in_responses(), 2);
    (0..in_flight).for_each(|request| send(&mut fleet, FIRST, request));
    fleet
}

fn misses_objective(fleet: &Fleet, relative_work: f64) -> bool {
    let request = request_of_work(fleet, relative_work);
    ResponseForecast::new(fleet, &request).misses_objective(&fleet.servers[FIRST])
}

#[test]
fn server_is_passed_over_once_its_queue_takes_more_than_six_tenths_of_the_time_left() {
    // 0.6 of 250 ms are 150 ms: four requests of 31 ms, but not five.
    assert!(!misses_objective(&fleet_with_requests_in_flight(3), 1.0));
    assert!(misses_objective(&fleet_with_requests_in_flight(4), 1.0));
}

#[test]
fn larger_request_does_not_fit_where_a_usual_one_does() {
    let fleet = fleet_with_requests_in_flight(3);
    assert!(misses_objective(&fleet, 2.0));
}

#[test]
fn idle_server_takes_any_request_and_one_in_slow_start_does_not() {
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
fn request_of_greater_value_may_take_more_of_its_time_up_to_a_bound() {
    let precious = RequestClass {
        priority_weight: 1_000.0,
        ..class()
    };
    let settings = Settings {
        classes: vec![class(), precious],
        ..settings_with_load_in_responses()
    };
    let mut fleet = fleet(settings, 1);
    let usual = &fleet.settings.classes[0];
    let now = fleet.now;
    fleet
        .estimators
        .workload
        .on_request_arrived(usual, 100.0, now);
    let mut incoming = incoming(250 * MS, None);
    incoming.class.0 = 1;
    let request = RequestState::new(&incoming, &fleet.settings.classes[1], 1.0, now);
    // 0.78 of 250 ms are 195 ms: six requests of 31 ms, but not seven.
    (0..5).for_each(|id| send(&mut fleet, FIRST, id));
    let misses = |fleet: &Fleet| {
        ResponseForecast::new(fleet, &request).misses_objective(&fleet.servers[FIRST])
    };
    assert!(!misses(&fleet));
    send(&mut fleet, FIRST, 5);
    assert!(misses(&fleet));
}
