//! Members, suspicion, gossip and list following.

mod common;

use arrowstand_balancer::*;
use common::*;

fn with_peers() -> Settings {
    Settings { gossip: true, balancer_count: 4, ..settings() }
}

/// What a balancer says to its peers once it has confirmed that server 0 is out of reach.
fn suspect_message(launched: Option<Micros>) -> Vec<u8> {
    let mut driver = Driver::new(with_peers(), 6);
    driver.tell(changed(Endpoint { incarnation: launched, ..member(0) }));
    let asked = messages(&driver.probed(ServerId(0), Outcome::TimedOut));
    messages(&driver.pass(3_000 * MS)).into_iter().find(|m| m[0] != asked[0][0]).expect("gossip")
}

#[test]
fn probes_a_random_server_every_period() {
    let mut driver = Driver::new(Settings { health_check_fee: 0.0, ..settings() }, 6);
    let mut probed = Vec::new();
    for _ in 0..40 {
        let asked = probes(&driver.pass(1_000 * MS));
        assert_eq!(asked.len(), 1);
        driver.probed(asked[0], Outcome::Served);
        probed.push(asked[0].0);
    }
    probed.sort_unstable();
    probed.dedup();
    assert_eq!(probed.len(), 6);
}

#[test]
fn dear_probes_come_less_often_however_many_servers_are_suspected() {
    let mut driver = Driver::new(Settings { health_check_fee: 0.05, ..settings() }, 60);
    let calm = probes(&driver.pass(40_000 * MS)).len();
    assert!((6..=9).contains(&calm), "{calm}");
    (0..25).for_each(|n| drop(driver.fail_probes(ServerId(n))));
    assert!(probes(&driver.pass(40_000 * MS)).len() <= 40);
}

#[test]
fn one_message_with_each_probe_tells_of_many_suspicions() {
    let mut driver = Driver::new(Settings { health_check_fee: 0.0, ..with_peers() }, 60);
    (0..8).for_each(|n| drop(driver.fail_probes(ServerId(n))));
    let told = messages(&driver.pass(5_000 * MS));
    assert!(!told.is_empty() && told.len() <= 20 + 3 * 20);
    assert!(told.iter().any(|m| m.len() > 17 && m.len() <= 256));
}

#[test]
fn a_failed_attempt_makes_its_server_the_next_to_be_probed() {
    let mut driver = Driver::new(settings(), 6);
    let (id, actions) = driver.request(0);
    let server = sent(&actions).expect("sent");
    driver.end(id, 0, server, Outcome::Reset);
    assert_eq!(probes(&driver.tick()), [server]);
}

#[test]
fn one_failed_probe_is_confirmed_by_a_second_before_suspicion() {
    let mut driver = Driver::new(settings(), 4);
    assert!(!logged(&driver.probed(ServerId(0), Outcome::TimedOut), "suspected"));
    let later = driver.pass(300 * MS);
    assert!(probes(&later).contains(&ServerId(0)));
    assert!(logged(&driver.probed(ServerId(0), Outcome::TimedOut), "suspected"));
    assert_eq!(driver.in_use(), [1, 2, 3]);
}

#[test]
fn a_good_second_probe_leaves_the_server_alone() {
    let mut driver = Driver::new(settings(), 4);
    driver.probed(ServerId(0), Outcome::TimedOut);
    driver.pass(300 * MS);
    driver.probed(ServerId(0), Outcome::Served);
    assert_eq!(driver.in_use(), [0, 1, 2, 3]);
}

#[test]
fn suspects_die_are_still_probed_and_come_back() {
    let mut driver = Driver::new(settings(), 4);
    driver.fail_probes(ServerId(0));
    let mut dead = false;
    for _ in 0..40 {
        let actions = driver.pass(250 * MS);
        dead |= logged(&actions, "dead");
        if probes(&actions).contains(&ServerId(0)) {
            driver.probed(ServerId(0), Outcome::TimedOut);
        }
    }
    assert!(dead);
    assert!(probes(&driver.pass(1_500 * MS)).contains(&ServerId(0)));
    assert!(logged(&driver.probed(ServerId(0), Outcome::Served), "cleared"));
}

#[test]
fn intermediates_that_reach_it_keep_the_suspicion_local() {
    let reached = {
        let mut peer = Driver::new(Settings { balancer_index: 1, ..with_peers() }, 6);
        let mut asker = Driver::new(with_peers(), 6);
        let ask = messages(&asker.probed(ServerId(0), Outcome::TimedOut)).remove(0);
        let asked = peer.tell(Event::GossipReceived { from: 0, message: ask });
        assert_eq!(probes(&asked), [ServerId(0)]);
        messages(&peer.probed(ServerId(0), Outcome::Served)).remove(0)
    };
    let mut driver = Driver::new(with_peers(), 6);
    driver.probed(ServerId(0), Outcome::TimedOut);
    driver.tell(Event::GossipReceived { from: 1, message: reached });
    let later = driver.pass(400 * MS);
    assert!(logged(&later, "suspected"));
    assert!(messages(&later).is_empty());
}

#[test]
fn incarnations_order_alive_and_suspect() {
    // Incarnation held, incarnation suspected by a peer, and whether the suspicion holds.
    let table =
        [(None, None, true), (Some(5), Some(5), true), (Some(5), Some(7), true), (Some(7), Some(5), false)];
    for (held, suspected, holds) in table {
        let message = suspect_message(suspected);
        let mut driver = Driver::new(with_peers(), 6);
        driver.tell(changed(Endpoint { incarnation: held, ..member(0) }));
        let actions = driver.tell(Event::GossipReceived { from: 2, message });
        assert_eq!(logged(&actions, "suspected"), holds, "{held:?} {suspected:?}");
    }
}

#[test]
fn a_newer_start_clears_but_a_flapper_must_prove_itself() {
    let mut driver = Driver::new(settings(), 4);
    driver.fail_probes(ServerId(0));
    assert!(logged(&driver.tell(changed(Endpoint { incarnation: Some(9), ..member(0) })), "cleared"));
    driver.fail_probes(ServerId(0));
    assert!(!logged(&driver.tell(changed(Endpoint { incarnation: Some(10), ..member(0) })), "cleared"));
}

#[test]
fn own_served_work_outweighs_gossip() {
    let mut driver = Driver::new(with_peers(), 1);
    let entries = (0..6).map(member).collect();
    driver.tell(Event::EndpointsUpdated { kind: UpdateKind::Full, version: 2, endpoints: entries });
    driver.in_use();
    let actions = driver.tell(Event::GossipReceived { from: 2, message: suspect_message(None) });
    assert!(!logged(&actions, "suspected"));
    assert!(probes(&driver.pass(250 * MS)).contains(&ServerId(0)));
}

#[test]
fn probes_that_fail_everywhere_do_not_empty_the_fleet() {
    let mut driver = Driver::new(settings(), 6);
    (0..6).for_each(|n| {
        driver.fail_probes(ServerId(n));
    });
    assert!(driver.in_use().len() >= 3);
}

#[test]
fn silence_of_work_raises_a_suspicion_that_a_good_probe_does_not_clear_at_once() {
    let mut driver = Driver::new(Settings { hedging: false, ..settings() }, 4);
    driver.in_use();
    let mut stuck = Vec::new();
    for _ in 0..1_000 {
        if stuck.len() == 4 {
            break;
        }
        let (id, actions) = driver.request(2);
        let server = sent(&actions).expect("sent");
        if server == ServerId(0) {
            stuck.push(id);
        } else {
            driver.now += MS;
            driver.end(id, 0, server, Outcome::Served);
        }
    }
    let mut suspected = false;
    for _ in 0..40 {
        suspected |= logged(&driver.pass(25 * MS), "suspected: work");
        driver.probed(ServerId(0), Outcome::Served);
        if suspected {
            break;
        }
    }
    assert!(suspected);
    assert_eq!(driver.in_use(), [1, 2, 3]);
    assert!(logged(&driver.end(stuck[0], 0, ServerId(0), Outcome::Served), "cleared"));
}

#[test]
fn fast_failures_do_not_look_idle() {
    let mut driver = Driver::new(settings(), 4);
    for _ in 0..60 {
        let (id, actions) = driver.request(2);
        let server = sent(&actions).expect("sent");
        let outcome = if server == ServerId(0) { Outcome::ServerError } else { Outcome::Served };
        driver.now += 5 * MS;
        driver.end(id, 0, server, outcome);
    }
    assert_eq!(driver.in_use(), [1, 2, 3]);
}

#[test]
fn nonsense_from_peers_is_ignored() {
    let mut driver = Driver::new(with_peers(), 4);
    for message in [vec![], vec![2], vec![2; 16], vec![2; 17], vec![9; 40]] {
        assert!(driver.tell(Event::GossipReceived { from: 77, message }).is_empty());
    }
}

#[test]
fn a_lost_list_is_asked_for_again_within_the_time_allowed() {
    let mut driver = Driver::new(Settings { poll_endpoints: true, ..settings() }, 4);
    for _ in 0..8 {
        driver.tell(Event::EndpointsUpdated { kind: UpdateKind::Lost, version: 0, endpoints: vec![] });
        // The longest pause is three quarters of the ten seconds that are allowed.
        assert!(driver.pass(7_550 * MS).contains(&Action::PollEndpoints));
    }
}

/// `crates/sidecar/src/limits.rs` counts on this pause (`LIST_PAUSE`).
#[test]
fn a_list_that_is_lost_is_first_asked_for_again_within_the_third_of_a_second() {
    for seed in 0..400 {
        let mut driver = Driver::seeded(Settings { poll_endpoints: true, ..settings() }, 4, seed);
        driver.tell(Event::EndpointsUpdated { kind: UpdateKind::Lost, version: 0, endpoints: vec![] });
        assert!(driver.pass(325 * MS).contains(&Action::PollEndpoints), "seed {seed}");
    }
}

/// Over loads and numbers of servers: one send at most learns of a drain that the list cannot tell, and what is
/// told to be ready is used again.
#[test]
fn what_turns_work_away_while_the_list_is_lost_gets_no_more_until_news() {
    for (seed, servers, gap) in (0..60).map(|n| (n, 3 + n as u32 % 5, [20, 200, 1_500][n as usize % 3])) {
        let list = Settings { poll_endpoints: true, ..settings() };
        let mut driver = Driver::seeded(list, servers, seed);
        driver.tell(Event::EndpointsUpdated { kind: UpdateKind::Lost, version: 0, endpoints: vec![] });
        let mut sends = 0;
        for _ in 0..200 {
            driver.now += gap * MS;
            let (id, actions) = driver.request(0);
            let (mut next, mut attempt) = (sent(&actions), 0);
            while let Some(server) = next {
                let drains = server == ServerId(0);
                sends += u32::from(drains);
                let outcome = if drains { Outcome::Rejected } else { Outcome::Served };
                next = sent(&driver.end(id, attempt, server, outcome));
                attempt += 1;
            }
        }
        assert!(sends <= 1, "seed {seed}: {sends} sends");
        driver.tell(changed(Endpoint { status: EndpointStatus::Draining, ..member(1) }));
        assert!(driver.in_use().contains(&0), "seed {seed}: told to be ready");
    }
}

#[test]
fn a_stale_list_never_restores_a_drain() {
    let mut driver = Driver::new(settings(), 4);
    driver.tell(changed(Endpoint { status: EndpointStatus::Draining, ..member(0) }));
    assert_eq!(driver.in_use(), [1, 2, 3]);
    driver.tell(changed(member(0)));
    assert_eq!(driver.in_use(), [1, 2, 3]);
    driver.tell(changed(Endpoint { incarnation: Some(5), ..member(0) }));
    assert_eq!(driver.in_use(), [0, 1, 2, 3]);
}

#[test]
fn a_full_list_removes_what_it_omits() {
    let mut driver = Driver::new(settings(), 4);
    let entries = (1..4).map(member).collect();
    driver.tell(Event::EndpointsUpdated { kind: UpdateKind::Full, version: 2, endpoints: entries });
    assert_eq!(driver.in_use(), [1, 2, 3]);
}

#[test]
fn gone_alone_does_not_bind_where_the_settings_say_so() {
    let mut driver = Driver::new(Settings { only_draining_binds: true, ..settings() }, 4);
    driver.tell(changed(Endpoint { status: EndpointStatus::Removed, ..member(0) }));
    driver.tell(changed(Endpoint { status: EndpointStatus::Draining, ..member(1) }));
    assert_eq!(driver.in_use(), [0, 2, 3]);
}

#[test]
fn where_connections_are_dear_each_balancer_uses_a_small_stable_part_of_the_fleet() {
    let mut all = vec![0; 64];
    for index in 0..200 {
        let settings =
            Settings { connection_fee: 0.05, balancer_count: 320, balancer_index: index, ..settings() };
        let mut driver = Driver::new(settings, 64);
        let first = driver.in_use_slowly();
        assert!((3..=5).contains(&first.len()), "{first:?}");
        let mut cells: Vec<u32> = first.iter().map(|n| n / 2).collect();
        cells.dedup();
        assert_eq!(cells.len(), first.len(), "one of each cell");
        first.iter().for_each(|&n| all[n as usize] += 1);
        driver.tell(changed(member(64)));
        let kept = driver.in_use_slowly().iter().filter(|n| first.contains(n)).count();
        assert!(kept + 1 >= first.len());
    }
    assert!(all.iter().all(|&users| (2..30).contains(&users)), "{all:?}");
}

#[test]
fn a_suspect_is_replaced_from_outside_the_part() {
    let settings = Settings { connection_fee: 0.05, balancer_count: 320, ..settings() };
    let mut driver = Driver::new(settings, 64);
    let first = driver.in_use();
    driver.fail_probes(ServerId(first[0]));
    let next = driver.in_use();
    assert!(!next.contains(&first[0]) && next.len() >= first.len());
}

#[test]
fn errors_spread_over_all_servers_are_no_servers_fault() {
    let mut driver = Driver::new(settings(), 6);
    let mut suspected = 0;
    for n in 0..300 {
        let (id, actions) = driver.request(2);
        let server = sent(&actions).expect("sent");
        driver.now += 5 * MS;
        let outcome = if n % 5 < 2 { Outcome::ServerError } else { Outcome::Served };
        suspected += usize::from(logged(&driver.end(id, 0, server, outcome), "suspected"));
    }
    assert!(suspected <= 2, "{suspected}");
}

#[test]
fn resets_spread_over_all_servers_are_no_servers_fault() {
    let (mut driver, mut dice, mut suspected) = (Driver::new(settings(), 10), fastrand::Rng::with_seed(1), 0);
    for _ in 0..2_000 {
        let (id, actions) = driver.request(2);
        let server = sent(&actions).expect("sent");
        driver.now += 5 * MS;
        let outcome = if dice.u8(0..100) < 10 { Outcome::Reset } else { Outcome::Served };
        suspected += usize::from(logged(&driver.end(id, 0, server, outcome), "suspected"));
    }
    assert!(suspected <= 5, "{suspected}");
}

#[test]
fn suspects_get_their_turn_while_attempts_fail_all_the_time() {
    let mut driver = Driver::new(settings(), 6);
    driver.fail_probes(ServerId(5));
    let mut probed = Vec::new();
    for n in 0..400 {
        let (id, actions) = driver.request(2);
        let server = sent(&actions).expect("sent");
        driver.end(id, 0, server, if n % 4 == 0 { Outcome::Reset } else { Outcome::Served });
        let asked = probes(&driver.pass(25 * MS));
        for &server in &asked {
            let outcome = if server.0 == 5 { Outcome::TimedOut } else { Outcome::Served };
            driver.probed(server, outcome);
        }
        probed.extend(asked);
    }
    let suspect = probed.iter().filter(|s| s.0 == 5).count();
    assert!(3 * suspect >= probed.len(), "{probed:?}");
}

#[test]
fn a_server_that_fails_part_of_its_work_gets_less_of_it() {
    let (mut driver, mut sent_to) = (Driver::new(settings(), 2), [0, 0]);
    for n in 0..400 {
        let (id, actions) = driver.request(2);
        let server = sent(&actions).expect("sent");
        sent_to[server.0 as usize] += 1;
        driver.now += 5 * MS;
        let outcome = if server.0 == 0 && n % 3 == 0 { Outcome::ServerError } else { Outcome::Served };
        driver.end(id, 0, server, outcome);
    }
    assert!(2 * sent_to[0] < sent_to[1], "{sent_to:?}");
}

#[test]
fn looks_that_fail_do_not_each_ask_intermediates() {
    let settings =
        Settings { load_reports: true, health_check_fee: 0.002, balancer_count: 900, ..with_peers() };
    let mut driver = Driver::new(settings, 60);
    let mut told = 0;
    for _ in 0..100 {
        let (_, actions) = driver.request(0);
        for server in probes(&actions) {
            told += messages(&driver.probed(server, Outcome::TimedOut)).len();
        }
        let later = driver.pass(100 * MS);
        told += messages(&later).len();
        for server in probes(&later) {
            told += messages(&driver.probed(server, Outcome::TimedOut)).len();
        }
    }
    // Ten seconds: at most four scheduled probes a second, each with three intermediates and one message.
    assert!(told <= 160, "{told}");
}

#[test]
fn where_most_probes_fail_while_work_is_served_work_decides() {
    let mut driver = Driver::new(settings(), 10);
    for n in 0..7 {
        driver.probed(ServerId(n), Outcome::TimedOut);
        driver.probed(ServerId(n), Outcome::TimedOut);
    }
    driver.pass(100 * MS);
    assert!(driver.in_use().len() >= 8);
    // A server that fails work as well is suspected all the same.
    for _ in 0..60 {
        let (id, actions) = driver.request(2);
        let server = sent(&actions).expect("sent");
        let outcome = if server == ServerId(3) { Outcome::ConnectFailed } else { Outcome::Served };
        let moved = sent(&driver.end(id, 0, server, outcome));
        moved.into_iter().for_each(|to| drop(driver.end(id, 1, to, Outcome::Served)));
    }
    assert!(!driver.in_use().contains(&3));
}

#[test]
fn a_quiet_balancer_holds_a_suspicion_until_the_servers_turn_would_come() {
    let mut driver = Driver::new(settings(), 4);
    driver.in_use_slowly();
    let mut failing = None;
    for _ in 0..60 {
        driver.now += 1_000 * MS;
        let (id, actions) = driver.request(2);
        let server = sent(&actions).expect("sent");
        let outcome = if server == ServerId(3) { Outcome::ConnectFailed } else { Outcome::Served };
        let actions = driver.end(id, 0, server, outcome);
        if let Some(next) = sent(&actions) {
            driver.end(id, 1, next, Outcome::Served);
        }
        if logged(&actions, "suspected: work") {
            failing = Some(server);
            break;
        }
    }
    assert_eq!(failing, Some(ServerId(3)));
    driver.now += 1_500 * MS;
    assert!(!logged(&driver.probed(ServerId(3), Outcome::Served), "cleared"));
    driver.now += 8_000 * MS;
    assert!(logged(&driver.probed(ServerId(3), Outcome::Served), "cleared"));
}

/// Servers in use by a balancer with a request at each pause, before 60 servers.
fn part_of_sixty(fee: f64, pause: Micros, seed: u64) -> std::collections::BTreeSet<u32> {
    let fees =
        Settings { handshake_fee: fee, balancer_index: seed as u32, balancer_count: 100, ..settings() };
    let mut driver = Driver::seeded(fees, 60, seed);
    let mut serve = || {
        driver.now += pause;
        driver.serve(0).0
    };
    for _ in 0..300 {
        serve();
    }
    (0..300).map(|_| serve()).collect()
}

#[test]
fn where_handshakes_are_dear_a_quiet_balancer_keeps_to_few_servers_and_a_busy_one_spreads() {
    let quiet = part_of_sixty(0.08, 50 * MS, 1).len();
    let busy = part_of_sixty(0.08, 0, 1).len();
    assert!((4..=10).contains(&quiet) && busy > 2 * quiet, "{quiet} {busy}");
    assert!(part_of_sixty(0.0, 50 * MS, 1).len() >= 24);
}

/// The figure for the fleet: connections held open for use, by all sidecars together, at one job server. It follows
/// the requests that the job server gets, not the number of sidecars, but for the least that each keeps.
#[test]
fn a_hundred_quiet_balancers_spread_their_few_servers_over_all() {
    let mut users = [0; 60];
    for seed in 0..100 {
        part_of_sixty(0.08, 80 * MS, seed).into_iter().for_each(|n| users[n as usize] += 1);
    }
    let (least, most) = (users.iter().min().expect("60"), users.iter().max().expect("60"));
    assert!(*least >= 1 && *most <= 20, "{users:?}");
}

#[test]
fn a_machine_that_can_do_more_is_drawn_more_often_from_the_first_request_on() {
    let big = MachineType { id: 1, cores: 3.0, speed: 1.0 };
    let small = MachineType { id: 2, cores: 2.0, speed: 0.5 };
    let mut driver = Driver::new(settings(), 8);
    for n in 0..8 {
        driver.tell(changed(Endpoint { machine_type: if n < 4 { big } else { small }, ..member(n) }));
    }
    let on_big = (0..800).filter(|_| driver.serve(0).0 < 4).count();
    // At first three to one; as all take alike long, the speeds that were told give way to what was learnt.
    assert!((480..640).contains(&on_big), "{on_big}");
}

#[test]
fn what_one_server_shows_tells_of_all_of_its_kind() {
    let kind = |n: u32| MachineType { id: n / 4, ..MachineType::default() };
    let mut driver = Driver::new(settings(), 8);
    (0..8).for_each(|n| drop(driver.tell(changed(Endpoint { machine_type: kind(n), ..member(n) }))));
    let mut served = |count: u32, of: std::ops::Range<u32>| {
        let mut seen = 0;
        for _ in 0..count {
            let (id, actions) = driver.request(0);
            let Some(server) = sent(&actions) else { continue };
            // The first three of the second kind take four times as long; of its last nothing is ever learnt.
            driver.now += if server.0 < 4 { 20 * MS } else { 80 * MS };
            let outcome = if server.0 == 7 { Outcome::Cancelled } else { Outcome::Served };
            driver.end(id, 0, server, outcome);
            seen += u32::from(of.contains(&server.0));
        }
        seen
    };
    served(600, 0..8);
    let last = served(2_000, 7..8);
    assert!(last < 150, "{last} of 2000 went to a server of a slow kind; 250 were its equal part");
}

/// The figure for the fleet: calls in the time that a discovery of four calls a second needs to answer all once.
#[test]
fn a_hundred_balancers_that_lost_their_list_do_not_keep_discovery_full() {
    let (mut calls, mut late) = (0, 0);
    for seed in 0..100 {
        let settings = Settings { poll_endpoints: true, ..settings() };
        let mut driver = Driver::seeded(settings, 4, seed);
        let lost = |driver: &mut Driver| {
            let (kind, version, entries) = (UpdateKind::Lost, 0, Vec::new());
            driver.tell(Event::EndpointsUpdated { kind, version, endpoints: entries });
        };
        lost(&mut driver);
        let mut last = driver.now;
        for _ in 0..25_000 / 25 {
            if driver.pass(25 * MS).contains(&Action::PollEndpoints) {
                late = late.max(driver.now - last);
                last = driver.now;
                calls += 1;
                lost(&mut driver);
            }
        }
    }
    // Eight calls each in 25 s, half of them in the first three; nobody waits longer than the time allowed.
    assert!(calls <= 800 && late <= 10_000 * MS, "{calls} {late}");
}
