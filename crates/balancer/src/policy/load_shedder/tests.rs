use super::{LoadShedder, ShedDecision};
use crate::fleet::Fleet;
use crate::policy::server_selector::Selection;
use crate::policy::test_support::{
    FIRST, MS, class, fleet, incoming_request, request, restart, send, settings,
    settings_with_load_checks, settings_with_load_in_responses,
};
use crate::state::RequestState;
use crate::{Micros, Settings};

/// A fleet of one server with the given number of requests in flight, of 31 ms each: an eighth of
/// the objective of 250 ms.
fn fleet_with_requests_in_flight(settings: Settings, in_flight: u64) -> Fleet {
    let mut fleet = fleet(settings, 1);
    (0..in_flight).for_each(|id| send(&mut fleet, FIRST, id));
    fleet
}

fn shedder_at(saturation: f64, fleet: &Fleet) -> LoadShedder {
    let mut shedder = LoadShedder::default();
    (0..200).for_each(|_| shedder.on_response(saturation, fleet.now));
    shedder
}

/// Number of requests out of 1000 that are shed at random at the given saturation.
fn shed_per_thousand(saturation: f64, fleet: &Fleet) -> usize {
    let mut shedder = shedder_at(saturation, fleet);
    let mut rng = fastrand::Rng::with_seed(1);
    let selection = Selection::Server(FIRST);
    let request = request(fleet);
    (0..1_000)
        .map(|_| shedder.decide_after_selection(fleet, &request, selection, &mut rng))
        .filter(|decision| *decision == ShedDecision::Saturated)
        .count()
}

#[test]
fn request_that_cannot_meet_its_objective_is_shed_on_arrival() {
    let decide = |time_left: Micros, work_hint: Option<Micros>| {
        let fleet = fleet(settings(), 1);
        let class = &fleet.settings.classes[0];
        let incoming = incoming_request(time_left, work_hint);
        let request = RequestState::new(&incoming, class, 1.0, fleet.now);
        LoadShedder::decide_on_arrival(&fleet, &incoming, class, &request)
    };
    assert_eq!(decide(600 * MS, Some(250 * MS)), ShedDecision::Admit);
    let too_large = decide(600 * MS, Some(251 * MS));
    assert_eq!(too_large, ShedDecision::CannotMeetObjective);
    // Before any response, half of the mean service time is 15.6 ms.
    assert_eq!(decide(16 * MS, None), ShedDecision::Admit);
    assert_eq!(decide(15 * MS, None), ShedDecision::CannotMeetObjective);
}

#[test]
fn saturation_sheds_from_a_third_of_the_objective_and_the_highest_priority_last() {
    let mut fleet = fleet(settings(), 1);
    assert_eq!(shed_per_thousand(0.31, &fleet), 0);
    assert!((400..=520).contains(&shed_per_thousand(0.40, &fleet)));
    assert_eq!(shed_per_thousand(0.50, &fleet), 1_000);
    fleet.settings.classes.push(class());
    fleet.settings.classes[0].priority_weight = 8.0;
    assert_eq!(shed_per_thousand(0.49, &fleet), 0);
    assert_eq!(shed_per_thousand(0.68, &fleet), 1_000);
}

#[test]
fn saturation_sheds_nothing_when_servers_report_their_load() {
    for settings in [
        settings_with_load_checks(),
        settings_with_load_in_responses(),
    ] {
        assert_eq!(shed_per_thousand(1.0, &fleet(settings, 1)), 0);
    }
}

#[test]
fn full_fleet_sheds_queued_requests_expected_to_take_most_of_their_time() {
    let mut fleet = fleet_with_requests_in_flight(settings_with_load_checks(), 4);
    let request = request(&fleet);
    let shedder = LoadShedder::default();
    // Five requests of 31 ms take 156 ms: more than 0.6 of the objective.
    assert!(!shedder.responds_too_late(&fleet, &request, FIRST));
    (0..200).for_each(|_| fleet.estimators.utilization.on_load_report(1.0));
    assert!(shedder.responds_too_late(&fleet, &request, FIRST));
}

#[test]
fn late_response_is_accepted_from_a_warm_server_until_too_many_requests_miss_their_objective() {
    let mut settings = settings_with_load_in_responses();
    settings.classes[0].late_value = 0.2;
    let mut fleet = fleet_with_requests_in_flight(settings, 5);
    let request = request(&fleet);
    let mut shedder = LoadShedder::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut decide =
        || shedder.decide_after_selection(&fleet, &request, Selection::LateServer(FIRST), &mut rng);
    // By the second decision, one request in twenty has missed its objective.
    let decisions = [decide(), decide()];
    let expected = [ShedDecision::Admit, ShedDecision::ResponseTooLate];
    assert_eq!(decisions, expected);
    restart(&mut fleet, FIRST);
    assert!(LoadShedder::default().responds_too_late(&fleet, &request, FIRST));
}
