//! The machine by itself.

use super::*;
use crate::scenario::{Choke, ReportSource};

fn machine(kind: MachineType) -> ServerModel {
    let chance = RandomStream::new(1, StreamId::Machines, 0);
    ServerModel::new(kind, 1.0, (2.5, 1_500_000), chance, 0, false)
}

fn plain() -> MachineType {
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
        until: Micros::MAX,
    }
}

fn ends(machine: &mut ServerModel, until: Micros) -> Vec<(u64, Micros)> {
    let (mut all, mut events) = (Vec::new(), Vec::new());
    while let Some(at) = machine.next().filter(|&at| at <= until) {
        machine.advance(at, &mut events);
        for event in events.drain(..) {
            if let Event::Ended { id, .. } = event {
                all.push((id, at));
            }
        }
    }
    all
}

#[test]
fn cores_share_nothing_and_the_queue_is_in_order_and_bounded() {
    let (mut machine, mut events) = (machine(plain()), Vec::new());
    let taken: Vec<bool> = (0..6)
        .map(|id| machine.offer(0, job(id, 10_000.0), &mut events))
        .collect();
    assert_eq!(taken, [true, true, true, true, true, false]);
    let ends = ends(&mut machine, 1_000_000);
    assert_eq!(
        ends.iter().map(|e| e.0).collect::<Vec<_>>(),
        [0, 1, 2, 3, 4]
    );
    assert_eq!(
        ends.iter().map(|e| e.1 / 1_000).collect::<Vec<_>>(),
        [10, 10, 20, 20, 30]
    );
}

#[test]
fn slowness_and_pauses_stretch_what_runs() {
    let (mut machine, mut events) = (machine(plain()), Vec::new());
    machine.offer(0, job(1, 10_000.0), &mut events);
    machine.set_slower(5_000, 2.0, &mut events);
    machine.set_state(10_000, State::Paused, &mut events);
    assert_eq!(machine.next(), None);
    machine.set_state(40_000, State::Up, &mut events);
    let ends = ends(&mut machine, 1_000_000);
    // 5 ms at full speed, 5 ms at half, 30 ms of pause, and 2.5 ms of work left at half speed.
    assert_eq!(ends.iter().map(|e| e.1 / 1_000).collect::<Vec<_>>(), [45]);
}

#[test]
fn a_crowd_chokes_it_until_it_has_rested() {
    let choke = Choke {
        at: 2.0,
        over_s: 0.1,
        slower: 4.0,
        below: 0.6,
        rest_s: 0.2,
        most_s: 60.0,
    };
    let kind = MachineType {
        cores: 1,
        queue: 100,
        choke: Some(choke),
        ..plain()
    };
    let (mut machine, mut events) = (machine(kind), Vec::new());
    assert!((0..20).all(|id| machine.offer(0, job(id, 20_000.0), &mut events)));
    let crowd = ends(&mut machine, 60_000_000);
    let last = crowd.last().map_or(0, |e| e.1);
    assert!(
        last > 1_200_000,
        "20 x 20 ms take 0.4 s unchoked, and took {last} us"
    );
    assert!(machine.choked() > 0);
    machine.advance(last + 2_000_000, &mut events);
    machine.offer(last + 2_000_000, job(99, 20_000.0), &mut events);
    assert_eq!(
        ends(&mut machine, 60_000_000).last().map(|e| e.1 - last),
        Some(2_020_000)
    );
}

#[test]
fn requests_beyond_the_cores_share_them_and_a_crowd_slows_all() {
    let shared = MachineType {
        slots: 8,
        queue: 9,
        ..plain()
    };
    let ends = |kind: MachineType, count: u64| {
        let (mut machine, mut events) = (machine(kind), Vec::new());
        (0..count).for_each(|id| assert!(machine.offer(0, job(id, 10_000.0), &mut events)));
        let mut at = 0;
        while machine.held() > 0 {
            at = machine.next().expect("goes on");
            machine.advance(at, &mut events);
        }
        at
    };
    assert!(
        ends(shared.clone(), 2).abs_diff(10_000) <= 2
            && ends(shared.clone(), 4).abs_diff(20_000) <= 2
    );
    let crowded = MachineType {
        thrash: 0.5,
        thrash_at: 2.0,
        ..shared
    };
    // Eight at two cores are two a core beyond the bound: twice as slow as without it.
    assert!(ends(crowded, 8).abs_diff(80_000) <= 8);
}

#[test]
fn answers_tell_what_was_held_a_while_ago() {
    let mut machine = machine(plain());
    machine.tells = Reports {
        source: ReportSource::Answers,
        every_ms: 100.0,
        delay_ms: 50.0,
    };
    let mut events = Vec::new();
    assert_eq!(machine.answer_report(0), None, "nothing is old enough");
    machine.offer(1_000, job(1, 1e6), &mut events);
    assert_eq!(machine.answer_report(60_000), Some(0), "as of the start");
    assert_eq!(
        machine.answer_report(110_000),
        Some(0),
        "taken anew, not told yet"
    );
    assert_eq!(machine.answer_report(170_000), Some(1));
}

#[test]
fn a_cold_one_is_slow_warms_up_and_falls_over_when_pressed() {
    let kind = MachineType {
        cold_capacity_share: 0.25,
        slow_start_s: 10.0,
        queue: 10_000,
        ..plain()
    };
    let (mut machine, mut events) = (machine(kind), Vec::new());
    machine.set_state(0, State::Down, &mut events);
    machine.set_state(0, State::Up, &mut events);
    machine.offer(0, job(1, 10_000.0), &mut events);
    assert_eq!(
        ends(&mut machine, 1_000_000).first().map(|e| e.1 / 1_000),
        Some(40)
    );
    // 2.5 x (2 cores x 0.25) x 1.5 s are 1.875 s of work, and some for chance.
    let taken =
        (0..400).take_while(|id| machine.offer(50_000, job(10 + id, 10_000.0), &mut events));
    let taken = taken.count() as f64 * 0.01;
    assert!((1.8..2.0).contains(&taken), "{taken} s of work");
    assert!(events.contains(&Event::Fell));
    assert_eq!(machine.state(), State::Down);
}

#[test]
fn calling_off_stops_what_waits_and_expired_work_is_not_begun() {
    let kind = MachineType {
        cores: 1,
        queue: 10,
        ..plain()
    };
    let (mut machine, mut events) = (machine(kind), Vec::new());
    machine.offer(0, job(1, 10_000.0), &mut events);
    machine.offer(0, job(2, 10_000.0), &mut events);
    machine.offer(
        0,
        Job {
            until: 5_000,
            ..job(3, 10_000.0)
        },
        &mut events,
    );
    assert!(machine.cancel(1_000, 2, &mut events));
    assert!(!machine.cancel(1_000, 1, &mut events));
    assert_eq!(
        ends(&mut machine, 1_000_000)
            .iter()
            .map(|e| e.0)
            .collect::<Vec<_>>(),
        [1]
    );
    assert_eq!((machine.done.dropped, machine.done.stopped), (1, 1));
}
