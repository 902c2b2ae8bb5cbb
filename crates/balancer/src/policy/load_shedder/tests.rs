use super::{LoadShedder, ShedDecision};
use crate::fleet::Fleet;
use crate::policy::server_selector::Selection;
use crate::policy::test_support::{
    FIRST, MS, class, fleet, incoming, request, restart, send, settings, settings_with_load_checks,
    settings_with_load_in_responses,
};
use crate::state::RequestState;
use crate::{Micros, RequestClass, Settings};

fn judge_arrival(time_left: Micros, work_hint: Option<Micros>) -> ShedDecision {
    let fleet = fleet(settings(), 1);
    let class = &fleet.settings.classes[0];
    let incoming = incoming(time_left, work_hint);
    let request = RequestState::new(&incoming, class, 1.0, fleet.now);
    LoadShedder::judge_arrival(&fleet, &incoming, class, &request)
}

/// How many of a thousand requests are shed at random.
fn shed_of_a_thousand(shedder: &mut LoadShedder, fleet: &Fleet) -> usize {
    let mut rng = fastrand::Rng::with_seed(1);
    let selection = Selection::Server(FIRST);
    let request = request(fleet);
    (0..1_000)
        .map(|_| shedder.judge_selection(fleet, &request, selection, &mut rng))
        .filter(|decision| *decision == ShedDecision::Saturated)
        .count()
}

#[test]
fn request_whose_work_takes_longer_than_its_objective_is_shed_on_arrival() {
    assert_eq!(judge_arrival(600 * MS, Some(250 * MS)), ShedDecision::Admit);
    let too_large = judge_arrival(600 * MS, Some(251 * MS));
    assert_eq!(too_large, ShedDecision::CannotMeetObjective);
}

#[test]
fn request_without_a_hint_needs_half_of_the_mean_service_time() {
    // The mean service time is 31.25 ms before any response.
    assert_eq!(judge_arrival(16 * MS, None), ShedDecision::Admit);
    assert_eq!(
        judge_arrival(15 * MS, None),
        ShedDecision::CannotMeetObjective
    );
}

#[test]
fn saturation_sheds_from_a_third_of_the_objective_on_and_everything_in_the_middle_of_its_span() {
    let fleet = fleet(settings(), 1);
    for (objective_share, expected) in [(0.31, 0..=0), (0.40, 400..=520), (0.50, 1_000..=1_000)] {
        let mut shedder = LoadShedder::default();
        (0..200).for_each(|_| shedder.on_response(objective_share, fleet.now));
        let shed = shed_of_a_thousand(&mut shedder, &fleet);
        assert!(expected.contains(&shed), "{objective_share}: {shed}");
    }
}

#[test]
fn requests_of_the_greatest_priority_are_shed_last() {
    let precious = RequestClass {
        priority_weight: 8.0,
        ..class()
    };
    let classes = vec![precious, class()];
    let fleet = fleet(
        Settings {
            classes,
            ..settings()
        },
        1,
    );
    let mut shedder = LoadShedder::default();
    (0..200).for_each(|_| shedder.on_response(0.49, fleet.now));
    assert_eq!(shed_of_a_thousand(&mut shedder, &fleet), 0);
    (0..200).for_each(|_| shedder.on_response(0.68, fleet.now));
    assert_eq!(shed_of_a_thousand(&mut shedder, &fleet), 1_000);
}

#[test]
fn saturation_sheds_nothing_where_servers_tell_of_their_load() {
    for settings in [
        settings_with_load_checks(),
        settings_with_load_in_responses(),
    ] {
        let fleet = fleet(settings, 1);
        let mut shedder = LoadShedder::default();
        (0..200).for_each(|_| shedder.on_rejected(fleet.now));
        assert_eq!(shed_of_a_thousand(&mut shedder, &fleet), 0);
    }
}

#[test]
fn full_fleet_sheds_what_would_take_most_of_its_time_behind_a_queue() {
    let mut fleet = fleet(settings_with_load_checks(), 1);
    (0..4).for_each(|id| send(&mut fleet, FIRST, id));
    let request = request(&fleet);
    let shedder = LoadShedder::default();
    // Five requests of 31 ms are 156 of 250 ms: more than 0.6.
    assert!(!shedder.exceeds_deadline(&fleet, &request, FIRST));
    (0..200).for_each(|_| fleet.estimators.utilization.on_load_report(1.0));
    assert!(shedder.exceeds_deadline(&fleet, &request, FIRST));
}

#[test]
fn late_response_is_bought_until_too_many_requests_miss_their_objective() {
    let mut settings = settings_with_load_in_responses();
    settings.classes[0].late_value = 0.2;
    let mut fleet = fleet(settings, 1);
    (0..5).for_each(|id| send(&mut fleet, FIRST, id));
    let request = request(&fleet);
    let mut shedder = LoadShedder::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut judge =
        || shedder.judge_selection(&fleet, &request, Selection::NoneInTime(FIRST), &mut rng);
    // The second one finds one request in twenty late.
    assert_eq!(judge(), ShedDecision::Admit);
    assert_eq!(judge(), ShedDecision::ExceedsDeadline);
}

#[test]
fn late_response_is_not_bought_of_a_server_in_slow_start() {
    let mut settings = settings_with_load_in_responses();
    settings.classes[0].late_value = 0.2;
    let mut fleet = fleet(settings, 1);
    (0..5).for_each(|id| send(&mut fleet, FIRST, id));
    let shedder = LoadShedder::default();
    let request = request(&fleet);
    assert!(!shedder.exceeds_deadline(&fleet, &request, FIRST));
    restart(&mut fleet, FIRST);
    assert!(shedder.exceeds_deadline(&fleet, &request, FIRST));
}
