//! Tests of a server's queue, speed, slow start, contention and cancellation. The expected values
//! are calculated by hand.

use super::load_report::LoadReporter;
use super::slow_start::OverloadRule;
use super::{Job, RunState, ServerModel, ServerModelEvent};
use crate::conversion::f64_from_count;
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Contention, LoadReportSource, LoadReports, MachineType, Micros};

fn server_of(machine_type: MachineType) -> ServerModel {
    let random = RandomStream::new(1, StreamId::Servers, 0);
    let rule = OverloadRule {
        factor: 2.5,
        window: 1_500_000,
    };
    ServerModel::new(machine_type, 1.0, rule, random, 0, false)
}

fn two_cores() -> MachineType {
    MachineType {
        cores: 2,
        queue: 3,
        error_rate: 0.0,
        ..MachineType::default()
    }
}

fn job(id: u64, work: f64) -> Job {
    Job {
        id,
        work,
        deadline: Micros::MAX,
    }
}

fn completions(server: &mut ServerModel, until: Micros) -> Vec<(u64, Micros)> {
    let mut all = Vec::new();
    let mut events = Vec::new();
    while let Some(at) = server.next_event_at().filter(|&at| at <= until) {
        server.advance(at, &mut events);
        for event in events.drain(..) {
            if let ServerModelEvent::Completed { id, .. } = event {
                all.push((id, at));
            }
        }
    }
    all
}

#[test]
fn jobs_wait_in_order_for_a_free_core_and_are_rejected_beyond_the_queue() {
    let mut server = server_of(two_cores());
    let mut events = Vec::new();
    let accepted: Vec<bool> = (0..6)
        .map(|id| server.try_accept(0, job(id, 10_000.0), &mut events))
        .collect();
    assert_eq!(accepted, [true, true, true, true, true, false]);
    let completed = completions(&mut server, 1_000_000);
    assert_eq!(
        completed.iter().map(|e| e.0).collect::<Vec<_>>(),
        [0, 1, 2, 3, 4]
    );
    assert_eq!(
        completed.iter().map(|e| e.1 / 1_000).collect::<Vec<_>>(),
        [10, 10, 20, 20, 30]
    );
}

#[test]
fn slowdown_and_pause_delay_the_completion_of_a_job() {
    let mut server = server_of(two_cores());
    let mut events = Vec::new();
    server.try_accept(0, job(1, 10_000.0), &mut events);
    server.set_slowdown(5_000, 2.0, &mut events);
    server.set_state(10_000, RunState::Paused, &mut events);
    assert_eq!(server.next_event_at(), None);
    server.set_state(40_000, RunState::Up, &mut events);
    let completed = completions(&mut server, 1_000_000);
    // 5 ms at full speed, 5 ms at half, 30 ms of pause, and 2.5 ms of work left at half speed.
    assert_eq!(
        completed.iter().map(|e| e.1 / 1_000).collect::<Vec<_>>(),
        [45]
    );
}

#[test]
fn sustained_overload_slows_a_server_until_it_has_recovered() {
    let contention = Contention {
        overload_threshold: 2.0,
        overload_s: 0.1,
        slowdown: 4.0,
        recovery_threshold: 0.6,
        recovery_s: 0.2,
        max_s: 60.0,
    };
    let machine_type = MachineType {
        cores: 1,
        queue: 100,
        contention: Some(contention),
        ..two_cores()
    };
    let mut server = server_of(machine_type);
    let mut events = Vec::new();
    assert!((0..20).all(|id| server.try_accept(0, job(id, 20_000.0), &mut events)));
    let completed = completions(&mut server, 60_000_000);
    let last = completed.last().map_or(0, |e| e.1);
    assert!(
        last > 1_200_000,
        "20 x 20 ms take 0.4 s without contention, and took {last} us"
    );
    assert!(server.slowed_time() > 0);
    server.advance(last + 2_000_000, &mut events);
    server.try_accept(last + 2_000_000, job(99, 20_000.0), &mut events);
    assert_eq!(
        completions(&mut server, 60_000_000)
            .last()
            .map(|e| e.1 - last),
        Some(2_020_000)
    );
}

#[test]
fn more_jobs_than_cores_share_them_and_slow_down_further_by_thrashing() {
    let shared = MachineType {
        slots: 8,
        queue: 9,
        ..two_cores()
    };
    let time_to_finish = |machine_type: MachineType, count: u64| {
        let mut server = server_of(machine_type);
        let mut events = Vec::new();
        (0..count).for_each(|id| assert!(server.try_accept(0, job(id, 10_000.0), &mut events)));
        let mut at = 0;
        while server.in_flight() > 0 {
            at = server
                .next_event_at()
                .expect("jobs in flight have a next event");
            server.advance(at, &mut events);
        }
        at
    };
    assert!(
        time_to_finish(shared.clone(), 2).abs_diff(10_000) <= 2
            && time_to_finish(shared.clone(), 4).abs_diff(20_000) <= 2
    );
    let thrashing = MachineType {
        thrashing: 0.5,
        thrashing_threshold: 2.0,
        ..shared
    };
    // 8 jobs on 2 cores are 2 per core over the threshold: twice as slow as without thrashing.
    assert!(time_to_finish(thrashing, 8).abs_diff(80_000) <= 8);
}

#[test]
fn a_response_reports_the_jobs_in_flight_of_the_last_sample_that_is_old_enough() {
    let mut server = server_of(two_cores());
    server.load_reporter = LoadReporter::new(LoadReports {
        source: LoadReportSource::Responses,
        every_ms: 100.0,
        delay_ms: 50.0,
    });
    let mut events = Vec::new();
    assert_eq!(
        server.response_load_report(0),
        None,
        "no sample is old enough"
    );
    server.try_accept(1_000, job(1, 1e6), &mut events);
    assert_eq!(
        server.response_load_report(60_000),
        Some(0),
        "the sample at the start"
    );
    assert_eq!(
        server.response_load_report(110_000),
        Some(0),
        "the newer sample is not old enough"
    );
    assert_eq!(server.response_load_report(170_000), Some(1));
}

#[test]
fn a_cold_server_is_slow_and_shuts_down_when_sent_more_than_the_rule_allows() {
    let machine_type = MachineType {
        cold_capacity_share: 0.25,
        slow_start_s: 10.0,
        queue: 10_000,
        ..two_cores()
    };
    let mut server = server_of(machine_type);
    let mut events = Vec::new();
    server.set_state(0, RunState::Down, &mut events);
    server.set_state(0, RunState::Up, &mut events);
    server.try_accept(0, job(1, 10_000.0), &mut events);
    assert_eq!(
        completions(&mut server, 1_000_000)
            .first()
            .map(|e| e.1 / 1_000),
        Some(40)
    );
    // 2.5 x (2 cores x 0.25) x 1.5 s are 1.875 s of work, plus two jobs of 10 ms.
    let accepted =
        (0..400).take_while(|id| server.try_accept(50_000, job(10 + id, 10_000.0), &mut events));
    let accepted = f64_from_count(accepted.count()) * 0.01;
    assert!((1.8..2.0).contains(&accepted), "{accepted} s of work");
    assert!(events.contains(&ServerModelEvent::OverloadShutdown));
    assert_eq!(server.state(), RunState::Down);
}

#[test]
fn a_cancelled_queued_job_never_runs_and_an_expired_one_is_dropped() {
    let machine_type = MachineType {
        cores: 1,
        queue: 10,
        ..two_cores()
    };
    let mut server = server_of(machine_type);
    let mut events = Vec::new();
    server.try_accept(0, job(1, 10_000.0), &mut events);
    server.try_accept(0, job(2, 10_000.0), &mut events);
    server.try_accept(
        0,
        Job {
            deadline: 5_000,
            ..job(3, 10_000.0)
        },
        &mut events,
    );
    assert!(server.cancel(1_000, 2, &mut events));
    assert!(!server.cancel(1_000, 1, &mut events));
    assert_eq!(
        completions(&mut server, 1_000_000)
            .iter()
            .map(|e| e.0)
            .collect::<Vec<_>>(),
        [1]
    );
    assert_eq!((server.counters.expired, server.counters.cancelled), (1, 1));
}
