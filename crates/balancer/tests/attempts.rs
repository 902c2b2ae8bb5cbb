//! Picking, legality of further attempts, refusals, cold starts, and scripts checked for the rules.

mod common;

use std::collections::BTreeMap;

use arrowstand_balancer::*;
use common::*;

#[test]
fn of_two_draws_the_one_with_fewer_own_in_flight_wins() {
    let mut driver = Driver::new(settings(), 2);
    let mut held = BTreeMap::new();
    for _ in 0..200 {
        let (_, actions) = driver.request(0);
        *held.entry(sent(&actions).expect("sent")).or_insert(0) += 1;
        if held.values().sum::<i32>() >= 10 {
            break;
        }
    }
    let counts: Vec<i32> = held.values().copied().collect();
    assert!((counts[0] - counts[1]).abs() <= 4, "{counts:?}");
}

#[test]
fn foreign_load_in_fresh_reports_is_avoided() {
    let mut driver = Driver::new(Settings { load_reports: true, health_check_fee: 0.001, ..settings() }, 4);
    for _ in 0..30 {
        let (id, asked) = driver.request(0);
        let mut last = Vec::new();
        for server in probes(&asked) {
            let held = if server == ServerId(3) { 0.0 } else { 2.0 };
            let report = Some(LoadReport { in_flight: held, queued: 0.0 });
            last = driver.tell(Event::HealthCheckEnded {
                server,
                outcome: Outcome::Served,
                load_report: report,
            });
        }
        assert_eq!(sent(&last), Some(ServerId(3)));
        driver.now += 30 * MS;
        driver.end(id, 0, ServerId(3), Outcome::Served);
    }
}

#[test]
fn reports_that_own_up_to_less_than_is_known_are_not_believed() {
    let mut driver = Driver::new(Settings { load_reports: true, health_check_fee: 0.001, ..settings() }, 4);
    let mut to_liar = Vec::new();
    for _ in 0..40 {
        // Server 0 always says that it is idle, and keeps all that it gets; the others hold five each.
        let (id, asked) = driver.request(2);
        driver.now += MS;
        let mut last = Vec::new();
        for server in probes(&asked) {
            let held = if server == ServerId(0) { 0.0 } else { 5.0 };
            let report = Some(LoadReport { in_flight: held, queued: 0.0 });
            last.extend(driver.tell(Event::HealthCheckEnded {
                server,
                outcome: Outcome::Served,
                load_report: report,
            }));
        }
        match sent(&last) {
            Some(ServerId(0)) => to_liar.push(id),
            Some(other) => drop(driver.end(id, 0, other, Outcome::Served)),
            None => {}
        }
    }
    assert!((1..5).contains(&to_liar.len()), "{}", to_liar.len());
}

#[test]
fn a_server_whose_probe_failed_does_not_look_idle() {
    let mut driver = Driver::new(Settings { load_reports: true, health_check_fee: 0.001, ..settings() }, 3);
    let (_, asked) = driver.request(0);
    driver.probed(probes(&asked)[0], Outcome::ConnectFailed);
    let busy = Some(LoadReport { in_flight: 1.0, queued: 0.0 });
    let mut last = Vec::new();
    for &server in &probes(&asked)[1..] {
        last = driver.tell(Event::HealthCheckEnded { server, outcome: Outcome::Served, load_report: busy });
    }
    assert!(sent(&last).is_some_and(|server| server != probes(&asked)[0]));
}

/// After one attempt ended so, is there another, and if not, which final answer?
fn after(class: RequestClass, outcome: Outcome, wait: Micros) -> (&'static str, bool) {
    let mut settings = settings();
    settings.classes = vec![class];
    let mut driver = Driver::new(settings, 8);
    let (id, actions) = driver.request(0);
    let first = sent(&actions).expect("sent");
    driver.now += wait;
    let actions = driver.end(id, 0, first, outcome);
    let same_cell = sent(&actions).is_some_and(|s| s.0 / 2 == first.0 / 2);
    let answer = match (sent(&actions), refused(&actions), failed(&actions)) {
        (Some(_), false, false) => "again",
        (None, true, false) => "refused",
        (None, false, true) => "failed",
        other => panic!("not one answer: {other:?}"),
    };
    (answer, same_cell)
}

#[test]
fn further_attempts_are_legal_by_class_and_outcome() {
    use Outcome::{ConnectFailed, Rejected, Reset, ServerError};
    for outcome in [ConnectFailed, Rejected] {
        for semantics in [Idempotency::Idempotent, Idempotency::IdempotencyKey, Idempotency::NonIdempotent] {
            assert_eq!(after(class(semantics), outcome, 5 * MS).0, "again", "{semantics:?} {outcome:?}");
        }
    }
    for outcome in [ServerError, Reset] {
        assert_eq!(after(class(Idempotency::Idempotent), outcome, 5 * MS).0, "again");
        assert_eq!(after(class(Idempotency::IdempotencyKey), outcome, 5 * MS), ("again", true));
        assert_eq!(after(class(Idempotency::NonIdempotent), outcome, 5 * MS).0, "failed");
    }
}

#[test]
fn a_closed_window_ends_a_keyed_request() {
    let short = RequestClass { deduplication_window: 60 * MS, ..class(Idempotency::IdempotencyKey) };
    assert_eq!(after(short.clone(), Outcome::Reset, 5 * MS).0, "again");
    assert_eq!(after(short.clone(), Outcome::Reset, 20 * MS).0, "failed");
    let everywhere = RequestClass { deduplication_scope: DeduplicationScope::All, ..short };
    assert_eq!(after(everywhere, Outcome::Reset, 20 * MS).0, "refused");
}

#[test]
fn no_attempt_runs_past_an_objective_after_which_answers_are_worth_nothing() {
    let mut driver = Driver::new(settings(), 4);
    for class in 0..3 {
        let (_, actions) = driver.request(class);
        let timeouts = actions.iter().filter_map(|a| match a {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        });
        assert!(timeouts.max().expect("sent") < 250 * MS);
    }
}

#[test]
fn requests_before_any_server_is_known_get_one_answer_in_time() {
    let mut driver = Driver::new(settings(), 0);
    let (_, mut actions) = driver.request(2);
    for _ in 0..20 {
        driver.now += 25 * MS;
        actions.extend(driver.tell(Event::TimerFired { token: 1 }));
    }
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count(), 1);
}

#[test]
fn work_that_cannot_meet_its_objective_is_refused_at_once() {
    let mut driver = Driver::new(settings(), 3);
    let (id, class) = (RequestId(9_000), ClassId(0));
    let call = IncomingRequest { id, class, time_left: 600 * MS, work_hint: Some(900 * MS) };
    assert!(refused(&driver.tell(Event::RequestArrived(call))));
}

#[test]
fn cold_servers_get_their_share_from_balancers_that_see_one_request_each() {
    let mut sends = 0;
    for seed in 0..800 {
        let mut driver = Driver::seeded(Settings { cold_capacity_share: 0.25, ..settings() }, 3, seed);
        let launched = Some(driver.now);
        driver.tell(changed(Endpoint { incarnation: launched, ..member(7) }));
        sends += u32::from(driver.serve(0) == ServerId(7));
    }
    // A warm server gets two hundred, one that has just started a quarter of that or a little more.
    assert!((30..90).contains(&sends), "{sends}");
}

#[test]
fn further_attempts_spare_cold_servers() {
    let mut driver = Driver::new(settings(), 1);
    let launched = Some(driver.now);
    driver.tell(changed(Endpoint { incarnation: launched, ..member(7) }));
    for _ in 0..20 {
        let (id, actions) = driver.request(0);
        let Some(server) = sent(&actions) else { continue };
        let next = sent(&driver.end(id, 0, server, Outcome::Rejected));
        assert_ne!(next, Some(ServerId(7)));
    }
}

#[test]
fn a_fleet_that_turns_work_away_does_not_get_it_several_times() {
    let mut driver = Driver::new(settings(), 40);
    let mut further = 0;
    for _ in 0..400 {
        let (id, actions) = driver.request(0);
        let Some(server) = sent(&actions) else { continue };
        if let Some(next) = sent(&driver.end(id, 0, server, Outcome::Rejected)) {
            driver.end(id, 1, next, Outcome::Served);
            further += 1;
        }
    }
    assert!(further <= 130, "{further}");
}

/// First sends of three classes, of 100 each, by a fleet whose answers take 150 of 250 ms.
fn taken_under_strain(settings: Settings) -> [u32; 3] {
    let mut classes = settings.classes;
    classes[0].priority_weight = 3.0;
    (classes[1].priority_weight, classes[2].priority_weight) = (8.0, 8.0);
    let mut driver = Driver::new(Settings { classes, ..settings }, 4);
    let mut taken = [0, 0, 0];
    for n in 0..300 {
        let class = n % 3;
        let (id, actions) = driver.request(class);
        let Some(server) = sent(&actions) else { continue };
        taken[usize::from(class)] += 1;
        driver.now += 150 * MS;
        driver.end(id, 0, server, Outcome::Served);
    }
    taken
}

#[test]
fn answers_that_take_most_of_the_objective_shed_the_least_worth_first() {
    let taken = taken_under_strain(settings());
    assert!(taken[0] < 60 && taken[1] > 80 && taken[2] > 80, "{taken:?}");
}

/// A fleet of many small sidecars: servers would report, but a probe for each send costs more than it tells.
#[test]
fn where_probes_are_dear_answers_tell_of_queues_as_without_reports() {
    let dear = Settings { load_reports: true, health_check_fee: 0.08, ..settings() };
    assert_eq!(taken_under_strain(dear), taken_under_strain(settings()));
}

#[test]
fn an_attempt_that_ran_out_its_objective_is_not_followed_by_one_without_time() {
    let mut driver = Driver::new(settings(), 4);
    let (id, actions) = driver.request(0);
    driver.now += 248 * MS;
    let after = driver.end(id, 0, sent(&actions).expect("sent"), Outcome::TimedOut);
    assert!(sent(&after).is_none() && refused(&after));
}

#[test]
fn a_client_with_little_time_is_answered_within_it() {
    let mut driver = Driver::new(Settings { load_reports: true, health_check_fee: 0.0, ..settings() }, 4);
    let call = |id, time_left| IncomingRequest { id, class: ClassId(0), time_left, work_hint: None };
    // Less than any service takes: refused at once.
    let (id, short) = (RequestId(9_001), 3 * MS);
    assert!(refused(&driver.tell(Event::RequestArrived(call(id, short)))));
    // Enough for a quick one: sent, though no look is answered, well before the client leaves.
    let (id, enough) = (RequestId(9_002), 60 * MS);
    let mut actions = driver.tell(Event::RequestArrived(call(id, enough)));
    driver.now += 5 * MS;
    actions.extend(driver.tell(Event::TimerFired { token: 1 }));
    assert!(sent(&actions).is_some());
}

#[test]
fn invalid_settings_name_the_value() {
    let reason = |s: Settings| Balancer::new(s, 0).err().expect("refused").to_string();
    assert!(reason(Settings::default()).contains("classes"));
    assert!(reason(Settings { cold_capacity_share: 0.0, ..settings() }).contains("cold_share"));
    assert!(reason(Settings { max_attempts: 0, ..settings() }).contains("max_attempts"));
    let mut bad = settings();
    bad.classes[1].priority_weight = f64::NAN;
    assert!(reason(bad).contains("classes[1].worth"));
}

#[test]
fn events_about_unknown_things_are_ignored() {
    let mut driver = Driver::new(settings(), 2);
    assert!(driver.end(RequestId(5), 0, ServerId(50), Outcome::Served).is_empty());
    assert!(driver.end(RequestId(5), 3, ServerId(1), Outcome::Reset).is_empty());
    assert!(driver.tell(Event::ClientDisconnected { request: RequestId(5) }).is_empty());
    assert!(driver.probed(ServerId(50), Outcome::Served).is_empty());
    assert!(driver.tell(Event::TimerFired { token: 999 }).is_empty());
    let report = Some(LoadReport { in_flight: f64::NAN, queued: -1.0 });
    driver.tell(Event::HealthCheckEnded {
        server: ServerId(0),
        outcome: Outcome::Served,
        load_report: report,
    });
    assert_eq!(driver.in_use(), [0, 1]);
}

/// What the rules of a request come down to, kept apart from the balancer.
struct Owed {
    class: usize,
    deadline: Micros,
    attempts: Vec<(ServerId, Micros, Option<Outcome>)>,
}

#[test]
fn random_scripts_keep_the_rules() {
    for seed in 0..40 {
        script(seed);
    }
}

fn script(seed: u64) {
    let mut dice = fastrand::Rng::with_seed(seed);
    let settings =
        Settings { gossip: dice.bool(), load_reports: dice.bool(), health_check_fee: 0.001, ..settings() };
    let mut driver = Driver::new(settings.clone(), 6);
    let mut owed: BTreeMap<RequestId, Owed> = BTreeMap::new();
    let mut out: Vec<(RequestId, u32, ServerId)> = Vec::new();
    let (mut barred, mut gone) = ([false; 6], [false; 6]);
    for _ in 0..3_000 {
        driver.now += dice.u64(0..8) * MS;
        let actions = match dice.u32(0..10) {
            0..=2 => {
                let class = dice.u16(0..3);
                let id = RequestId(1_000_000 + dice.u64(..1 << 40));
                let deadline = driver.now + 600 * MS;
                owed.insert(id, Owed { class: class.into(), deadline, attempts: Vec::new() });
                let call =
                    IncomingRequest { id, class: ClassId(class), time_left: 600 * MS, work_hint: None };
                driver.tell(Event::RequestArrived(call))
            }
            3..=5 if !out.is_empty() => {
                let (request, attempt, server) = out.swap_remove(dice.usize(0..out.len()));
                let all = [Outcome::Served, Outcome::Served, Outcome::ServerError, Outcome::Rejected];
                let more = [Outcome::ConnectFailed, Outcome::Reset];
                let outcome = if dice.bool() { all[dice.usize(0..4)] } else { more[dice.usize(0..2)] };
                let served = outcome == Outcome::Served;
                let finished = !owed.contains_key(&request) || served;
                if let Some(o) = owed.get_mut(&request) {
                    o.attempts[attempt as usize].2 = Some(outcome);
                }
                if finished {
                    owed.remove(&request);
                }
                let (elapsed, report) = (MS, None);
                let end =
                    AttemptEnd { request, attempt, server, outcome, finished, elapsed, load_report: report };
                driver.tell(Event::AttemptEnded(end))
            }
            6 => {
                let server = dice.u32(0..6);
                let outcome = if dice.bool() { Outcome::Served } else { Outcome::TimedOut };
                let report = dice.bool().then(|| LoadReport { in_flight: dice.f64() * 9.0, queued: 0.0 });
                driver.tell(Event::HealthCheckEnded {
                    server: ServerId(server),
                    outcome,
                    load_report: report,
                })
            }
            7 => {
                let n = dice.u32(0..6);
                let conditions = [EndpointStatus::Ready, EndpointStatus::Draining, EndpointStatus::Removed];
                let condition = conditions[dice.usize(0..3)];
                let restart = dice.bool() && condition == EndpointStatus::Ready;
                let launched = restart.then_some(driver.now);
                // Listed anew after it was gone, a server is a new one; a mere drain binds until a restart.
                let back = restart || gone[n as usize];
                barred[n as usize] = condition != EndpointStatus::Ready || (barred[n as usize] && !back);
                gone[n as usize] = condition == EndpointStatus::Removed;
                driver.tell(changed(Endpoint { status: condition, incarnation: launched, ..member(n) }))
            }
            8 => driver.tick(),
            _ => driver.tell(Event::TimerFired { token: 1 }),
        };
        for action in actions {
            check(&action, &settings, driver.now, &mut owed, &mut out, &barred);
        }
        // What has run out of time comes back as timed out, on time.
        let late: Vec<_> = out
            .iter()
            .copied()
            .filter(|o| owed.get(&o.0).is_some_and(|r| r.deadline <= driver.now))
            .collect();
        for (request, attempt, server) in late {
            out.retain(|o| (o.0, o.1) != (request, attempt));
            if let Some(o) = owed.get_mut(&request) {
                o.attempts[attempt as usize].2 = Some(Outcome::TimedOut);
            }
            for action in driver.end(request, attempt, server, Outcome::TimedOut) {
                check(&action, &settings, driver.now, &mut owed, &mut out, &barred);
            }
        }
        let overdue = owed.values().filter(|o| o.deadline + 30 * MS < driver.now).count();
        assert_eq!(overdue, 0, "seed {seed}: a request without its answer");
    }
}

fn check(
    action: &Action,
    settings: &Settings,
    now: Micros,
    owed: &mut BTreeMap<RequestId, Owed>,
    out: &mut Vec<(RequestId, u32, ServerId)>,
    barred: &[bool; 6],
) {
    let ran = |o: &Option<Outcome>| o.is_none_or(|o| !o.never_executed());
    match action {
        Action::Send { request, server, .. } => {
            let o = owed.get_mut(request).expect("sent for a finished request");
            assert!(!barred[server.0 as usize], "sent to a drained server");
            assert!(o.attempts.len() < settings.max_attempts as usize);
            if let Some(first) = o.attempts.iter().find(|a| ran(&a.2)) {
                let class = &settings.classes[o.class];
                match class.idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::IdempotencyKey => {
                        assert_eq!(first.0.0 / 2, server.0 / 2, "left the cell");
                        assert!(now < first.1 + class.deduplication_window, "window closed");
                    }
                    Idempotency::NonIdempotent => panic!("an effect may happen twice"),
                }
            }
            out.push((*request, o.attempts.len() as u32, *server));
            o.attempts.push((*server, now, None));
        }
        Action::Reject { request, .. } => {
            let o = owed.remove(request).expect("a second answer");
            let pure = settings.classes[o.class].idempotency == Idempotency::Idempotent;
            assert!(pure || !o.attempts.iter().any(|a| ran(&a.2)), "refused what may have run");
        }
        Action::Fail { request } => {
            owed.remove(request).expect("a second answer");
        }
        _ => {}
    }
}

#[test]
fn where_most_looks_fail_a_server_that_says_it_is_idle_is_preferred_but_not_a_busy_one() {
    for (held, preferred) in [(0.0, true), (5.0, false)] {
        let mut driver =
            Driver::new(Settings { load_reports: true, health_check_fee: 0.0, ..settings() }, 10);
        (1..10).for_each(|n| drop(driver.probed(ServerId(n), Outcome::TimedOut)));
        let mut chosen = 0;
        for _ in 0..200 {
            driver.now += 100 * MS;
            let (id, actions) = driver.request(2);
            if probes(&actions).contains(&ServerId(0)) {
                let report = Some(LoadReport { in_flight: held, queued: 0.0 });
                driver.tell(Event::HealthCheckEnded {
                    server: ServerId(0),
                    outcome: Outcome::Served,
                    load_report: report,
                });
            }
            driver.now += 6 * MS;
            let Some(server) = sent(&driver.tell(Event::TimerFired { token: 1 })) else { continue };
            chosen += usize::from(server == ServerId(0));
            driver.now += 40 * MS;
            driver.end(id, 0, server, Outcome::Served);
        }
        assert_eq!(chosen > 60, preferred, "{held} {chosen}");
    }
}

/// Small and large requests of the same worth come by turns to a fleet of which each server holds so many; tells
/// whether the last small one and the last large one, which may take longer, were sent.
fn taken_by_a_full_fleet(held: u64) -> (bool, bool) {
    let pure = |objective| RequestClass::new(Idempotency::Idempotent, objective, 1_500 * MS);
    let classes = vec![pure(400 * MS), pure(600 * MS)];
    let mut driver =
        Driver::new(Settings { classes, load_reports: true, health_check_fee: 0.001, ..settings() }, 6);
    let mut taken = [false; 2];
    for n in 0..400 {
        driver.now += 10 * MS;
        let (id, class) = (RequestId(10_000 + n), (n % 2) as u16);
        let size = if class == 0 { 40 * MS } else { 110 * MS };
        let call =
            IncomingRequest { id, class: ClassId(class), time_left: 1_500 * MS, work_hint: Some(size) };
        let mut actions = driver.tell(Event::RequestArrived(call));
        for server in probes(&actions) {
            let report = Some(LoadReport { in_flight: held as f64, queued: held as f64 - 1.0 });
            actions.extend(driver.tell(Event::HealthCheckEnded {
                server,
                outcome: Outcome::Served,
                load_report: report,
            }));
        }
        taken[usize::from(class)] = sent(&actions).is_some();
        if let Some(server) = sent(&actions) {
            let elapsed = size + held * 75 * MS;
            driver.now += elapsed;
            let (request, outcome, finished, report) = (id, Outcome::Served, true, None);
            let end =
                AttemptEnd { request, attempt: 0, server, outcome, finished, elapsed, load_report: report };
            driver.tell(Event::AttemptEnded(end));
        }
    }
    (taken[0], taken[1])
}

#[test]
fn a_full_fleet_turns_away_first_what_earns_least_for_its_work() {
    let taken: Vec<(bool, bool)> = (1..30).map(taken_by_a_full_fleet).collect();
    assert_eq!(taken[0], (true, true), "a free fleet takes both");
    assert!(taken.contains(&(true, false)), "{taken:?}");
    assert!(!taken.contains(&(false, true)), "{taken:?}");
}

/// A balancer starts with a list of which most has gone: connections there are refused, and the list says nothing.
#[test]
fn a_list_of_which_most_has_gone_costs_few_requests_and_is_soon_known() {
    let (mut early, mut late) = (0, 0);
    for seed in 0..40 {
        let dear = Settings { handshake_fee: 0.05, balancer_count: 300, balancer_index: seed, ..settings() };
        let mut driver = Driver::seeded(dear, 60, u64::from(seed));
        for n in 0..120 {
            driver.now += 200 * MS;
            driver.tick();
            let (id, actions) = driver.request(0);
            let (mut next, mut attempt) = (sent(&actions), 0);
            while let Some(server) = next {
                let gone = server.0 % 5 != 0;
                let outcome = if gone { Outcome::ConnectFailed } else { Outcome::Served };
                driver.now += MS;
                next = sent(&driver.end(id, attempt, server, outcome));
                attempt += 1;
                *(if n < 60 { &mut early } else { &mut late }) += u32::from(!gone);
            }
        }
    }
    // Of 2,400 each: four in five while it is learnt, nine in ten after it.
    assert!(early >= 1_920 && late >= 2_160, "{early} {late}");
}
