use super::{Candidates, LoadStatus, Selection, ServerSelector, ServerWait};
use crate::fleet::Fleet;
use crate::policy::test_support::{
    FIRST, MS, SECOND, fleet, request, restart, send, settings, settings_with_load_in_responses,
};
use crate::state::ServerIndex;

fn candidates(servers: &[ServerIndex]) -> Candidates {
    Candidates {
        servers: servers.to_vec(),
        load_status: LoadStatus::Unchecked,
    }
}

/// Number of requests out of 1000 for which each of two servers is selected.
fn selections(fleet: &Fleet, candidates: &Candidates) -> [u32; 2] {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut counts = [0, 0];
    for _ in 0..1_000 {
        let selection = ServerSelector::select(fleet, &request(fleet), candidates, &mut rng);
        let server = selection.server().expect("a candidate");
        counts[server.0] += 1;
    }
    counts
}

#[test]
fn less_loaded_of_two_drawn_servers_is_selected() {
    let mut fleet = fleet(settings(), 2);
    send(&mut fleet, FIRST, 1);
    // The loaded one is selected only if it is drawn twice: one time in four.
    let [loaded, idle] = selections(&fleet, &candidates(&[FIRST, SECOND]));
    assert!((200..300).contains(&loaded), "{loaded} {idle}");
}

#[test]
fn failing_server_is_drawn_less_often_than_in_proportion_to_its_success_rate() {
    let mut fleet = fleet(settings(), 2);
    for _ in 0..3 {
        fleet.servers[FIRST].failures.on_failed();
    }
    let success_rate = 1.0 - fleet.servers[FIRST].failures.failure_rate();
    let [failing, healthy] = selections(&fleet, &candidates(&[FIRST, SECOND]));
    let ratio = f64::from(failing) / f64::from(healthy);
    assert!(ratio < success_rate, "{failing} {healthy}");
}

#[test]
fn server_in_slow_start_is_selected_for_its_low_load_only_after_load_checks() {
    let mut fleet = fleet(settings(), 2);
    restart(&mut fleet, FIRST);
    send(&mut fleet, SECOND, 1);
    let unchecked = candidates(&[FIRST, SECOND]);
    let checked = Candidates {
        load_status: LoadStatus::Checked,
        ..unchecked.clone()
    };
    let [in_slow_start, _] = selections(&fleet, &unchecked);
    assert!((450..550).contains(&in_slow_start), "{in_slow_start}");
    let [in_slow_start, _] = selections(&fleet, &checked);
    assert!((700..800).contains(&in_slow_start), "{in_slow_start}");
}

#[test]
fn servers_expected_to_respond_in_time_take_precedence() {
    let mut fleet = fleet(settings_with_load_in_responses(), 2);
    (0..20).for_each(|id| send(&mut fleet, FIRST, id));
    assert_eq!(
        selections(&fleet, &candidates(&[FIRST, SECOND])),
        [0, 1_000]
    );
    (0..20).for_each(|id| send(&mut fleet, SECOND, id));
    let mut rng = fastrand::Rng::with_seed(1);
    let both = candidates(&[FIRST, SECOND]);
    let selection = ServerSelector::select(&fleet, &request(&fleet), &both, &mut rng);
    assert!(matches!(selection, Selection::LateServer(_)));
}

#[test]
fn request_without_candidates_waits_while_there_is_time_for_two_more_selections() {
    let mut fleet = fleet(settings(), 0);
    let mut rng = fastrand::Rng::with_seed(1);
    let request = request(&fleet);
    let selection = ServerSelector::select(&fleet, &request, &candidates(&[]), &mut rng);
    assert_eq!(selection, Selection::NoCandidate);
    let wait = |now| ServerSelector::wait_for_server(now, &request);
    fleet.now += 74 * MS;
    assert_eq!(wait(fleet.now), ServerWait::WaitFor(25 * MS));
    fleet.now += MS;
    assert_eq!(wait(fleet.now), ServerWait::MaxWaitReached);
}
