//! The auditor itself: for each rule a forged record that breaks it is caught, and one that only just keeps it
//! passes.

use arrowstand_testbed::audit::{Auditor, Rule};
use arrowstand_testbed::ledger::{Entry, Fate, How, Ledger, Life, Line, Listing, read};
use arrowstand_testbed::scenario::{Class, Day, Effect, Group, Micros};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

fn day() -> Day {
    let class = |effect, group| Class {
        effect,
        group,
        window_ms: 10_000.0,
        ..Class::default()
    };
    let classes = [
        class(Effect::Safe, Group::All),
        class(Effect::Unsafe, Group::All),
        class(Effect::Keyed, Group::Zone),
        class(Effect::Keyed, Group::All),
    ];
    Day {
        class: classes.to_vec(),
        ..Day::default()
    }
}

/// What the auditor says of a record.
fn audit(lines: &[(Micros, Entry)]) -> Vec<(Rule, Option<u64>, Option<u32>, Micros)> {
    let mut auditor = Auditor::new(&day(), 0);
    // Two job servers in zone 0, one in zone 1.
    for (server, zone) in [(0, 0), (1, 0), (2, 1)] {
        auditor.note(&Line {
            at: 0,
            entry: Entry::Server {
                server,
                zone,
                fate: Fate::Up,
            },
        });
    }
    for &(at, entry) in lines {
        auditor.note(&Line { at, entry });
    }
    auditor.finish();
    assert_eq!(auditor.count, auditor.breaches.len() as u64);
    auditor
        .breaches
        .iter()
        .map(|b| (b.rule, b.tx, b.server, b.at))
        .collect()
}

fn taken(tx: u64, class: u16) -> (Micros, Entry) {
    (
        S,
        Entry::Taken {
            tx,
            ask: tx,
            sidecar: 0,
            class,
            due: 2 * S,
        },
    )
}

fn arrived(at: Micros, tx: u64, server: u32) -> (Micros, Entry) {
    (
        at,
        Entry::Arrived {
            tx,
            server,
            work: 10_000.0,
            capacity: 2.0,
            cold: false,
        },
    )
}

fn answered(at: Micros, tx: u64, how: How) -> (Micros, Entry) {
    (at, Entry::Answered { tx, how })
}

fn turned(at: Micros, tx: u64, server: u32) -> (Micros, Entry) {
    (at, Entry::TurnedAway { tx, server })
}

const GRACE: Micros = 20 * MS;

#[test]
fn one_answer_in_time_and_no_more() {
    let late = 2 * S + GRACE;
    assert_eq!(audit(&[taken(1, 0), answered(late, 1, How::Served)]), []);
    let found = audit(&[taken(1, 0), answered(late + 1, 1, How::Served)]);
    assert!(
        found
            .iter()
            .all(|f| f.0 == Rule::OneAnswer && f.1 == Some(1))
            && !found.is_empty()
    );
    assert_eq!(
        audit(&[taken(1, 0)]),
        [(Rule::OneAnswer, Some(1), None, late)]
    );
    let twice = [
        taken(1, 0),
        answered(S + 1, 1, How::Served),
        answered(S + 2, 1, How::Failed),
    ];
    assert_eq!(audit(&twice), [(Rule::OneAnswer, Some(1), None, S + 2)]);
    for how in [How::Wrong, How::Cut, How::Unanswered] {
        let found = audit(&[taken(1, 0), answered(S + 5, 1, how)]);
        assert_eq!(found, [(Rule::OneAnswer, Some(1), None, S + 5)], "{how:?}");
    }
}

#[test]
fn who_left_or_was_killed_is_owed_nothing_but_one_told_to_end_is() {
    assert_eq!(audit(&[taken(1, 0), (S + 1, Entry::Left { tx: 1 })]), []);
    let life = |life| (S + 2, Entry::Sidecar { sidecar: 0, life });
    assert_eq!(
        audit(&[
            taken(1, 0),
            life(Life::Killed),
            answered(S + 3, 1, How::Cut)
        ]),
        []
    );
    assert_eq!(
        audit(&[taken(1, 0), life(Life::Ending), life(Life::Ended)]).len(),
        1
    );
    // A kill before it was taken excuses nothing.
    let before = (
        S - 1,
        Entry::Sidecar {
            sidecar: 0,
            life: Life::Killed,
        },
    );
    assert_eq!(audit(&[before, taken(1, 0)]).len(), 1);
}

#[test]
fn an_unsafe_request_arrives_again_only_if_it_was_turned_away() {
    let end = answered(S + 90, 1, How::Served);
    let good = [
        taken(1, 1),
        arrived(S + 1, 1, 0),
        turned(S + 1, 1, 0),
        arrived(S + 2, 1, 1),
        end,
    ];
    assert_eq!(audit(&good), []);
    let bad = [taken(1, 1), arrived(S + 1, 1, 0), arrived(S + 2, 1, 1), end];
    assert_eq!(audit(&bad), [(Rule::NoSecondRun, Some(1), Some(1), S + 2)]);
    // Even at the same job server, and even after it had been turned away once elsewhere.
    let bad = [
        taken(1, 1),
        arrived(S + 1, 1, 0),
        turned(S + 1, 1, 0),
        arrived(S + 2, 1, 1),
        arrived(S + 3, 1, 1),
    ];
    assert_eq!(audit(&bad)[0], (Rule::NoSecondRun, Some(1), Some(1), S + 3));
    assert_eq!(
        audit(&[taken(1, 0), arrived(S + 1, 1, 0), arrived(S + 2, 1, 1), end]),
        []
    );
}

#[test]
fn a_key_holds_in_its_zone_and_window() {
    let end = answered(S + 90, 1, How::Served);
    assert_eq!(
        audit(&[taken(1, 2), arrived(S + 1, 1, 0), arrived(S + 2, 1, 1), end]),
        []
    );
    let crossed = audit(&[taken(1, 2), arrived(S + 1, 1, 0), arrived(S + 2, 1, 2), end]);
    assert_eq!(crossed, [(Rule::NoSecondRun, Some(1), Some(2), S + 2)]);
    // Where all job servers know the key, a zone does not matter, and the window does.
    assert_eq!(
        audit(&[taken(1, 3), arrived(S + 1, 1, 0), arrived(S + 2, 1, 2), end]),
        []
    );
    let late = [
        taken(1, 3),
        arrived(S + 1, 1, 0),
        arrived(11 * S + 1, 1, 0),
        end,
    ];
    assert_eq!(
        audit(&late)
            .iter()
            .filter(|f| f.0 == Rule::NoSecondRun)
            .count(),
        0
    );
    let later = [
        taken(1, 3),
        arrived(S + 1, 1, 0),
        arrived(11 * S + 2, 1, 0),
        end,
    ];
    assert_eq!(
        audit(&later)
            .iter()
            .filter(|f| f.0 == Rule::NoSecondRun)
            .count(),
        1
    );
}

#[test]
fn what_may_have_run_is_not_refused() {
    for (class, honest) in [(0, true), (1, false), (2, false), (3, true)] {
        let found = audit(&[
            taken(1, class),
            arrived(S + 1, 1, 0),
            answered(S + 2, 1, How::Refused),
        ]);
        let wanted = if honest {
            vec![]
        } else {
            vec![(Rule::HonestRefusal, Some(1), None, S + 2)]
        };
        assert_eq!(found, wanted, "class {class}");
    }
    let turned_away = [
        taken(1, 1),
        arrived(S + 1, 1, 0),
        turned(S + 1, 1, 0),
        answered(S + 2, 1, How::Refused),
    ];
    assert_eq!(audit(&turned_away), []);
    let after = [
        taken(1, 1),
        answered(S + 1, 1, How::Refused),
        arrived(S + 2, 1, 0),
    ];
    assert_eq!(
        audit(&after),
        [(Rule::HonestRefusal, Some(1), Some(0), S + 2)]
    );
}

fn began(at: Micros, sidecar: u32) -> (Micros, Entry) {
    (
        at,
        Entry::Began {
            tx: 1,
            sidecar,
            server: 0,
            crossing: false,
        },
    )
}

fn listed(at: Micros, listing: Listing, launched: Micros) -> (Micros, Entry) {
    (
        at,
        Entry::Listed {
            sidecar: 0,
            server: 0,
            listing,
            launched,
        },
    )
}

#[test]
fn nothing_new_begins_two_seconds_after_a_drain_was_told() {
    for out in [Listing::Draining, Listing::Gone] {
        assert_eq!(audit(&[listed(S, out, 0), began(3 * S, 0)]), []);
        let found = audit(&[listed(S, out, 0), began(3 * S + 1, 0)]);
        assert_eq!(found, [(Rule::DrainKept, Some(1), Some(0), 3 * S + 1)]);
    }
    // Telling it again does not start the time anew; a new start ends the drain; others were not told.
    let again = [
        listed(S, Listing::Draining, 0),
        listed(2 * S, Listing::Gone, 0),
        began(3 * S + 1, 0),
    ];
    assert_eq!(audit(&again).len(), 1);
    assert_eq!(
        audit(&[
            listed(S, Listing::Gone, 0),
            listed(2 * S, Listing::Ready, 2 * S),
            began(4 * S, 0)
        ]),
        []
    );
    assert_eq!(audit(&[listed(S, Listing::Gone, 0), began(4 * S, 1)]), []);
    // A restarted sidecar knows only what it is told since.
    let restart = (
        2 * S,
        Entry::Sidecar {
            sidecar: 0,
            life: Life::Killed,
        },
    );
    assert_eq!(
        audit(&[listed(S, Listing::Gone, 0), restart, began(4 * S, 0)]),
        []
    );
}

/// Work of 100 ms each, so many times within a span, at a cold server that can do 0.4 s of work a second.
fn pressed(count: u64, told: bool, cold: bool) -> Vec<(Rule, Option<u64>, Option<u32>, Micros)> {
    let mut lines = vec![(
        S,
        Entry::Server {
            server: 0,
            zone: 0,
            fate: Fate::Cold,
        },
    )];
    if told {
        lines.push(listed(S, Listing::Ready, S));
    }
    for n in 0..count {
        let at = S + 10 + n;
        lines.push((
            at,
            Entry::Taken {
                tx: n,
                ask: n,
                sidecar: 0,
                class: 0,
                due: 2 * S,
            },
        ));
        lines.push((
            at,
            Entry::Arrived {
                tx: n,
                server: 0,
                work: 100_000.0,
                capacity: 0.4,
                cold,
            },
        ));
        lines.push((
            at,
            Entry::Answered {
                tx: n,
                how: How::Failed,
            },
        ));
    }
    audit(&lines)
}

#[test]
fn a_cold_server_is_not_sent_more_than_its_multiple_by_those_who_know() {
    // 2.5 x 0.4 x 1.5 s are 1.5 s of work, and two requests for chance: 17 pass, 18 do not.
    assert_eq!(pressed(17, true, true), []);
    assert_eq!(
        pressed(18, true, true),
        [(Rule::ColdSpared, Some(17), Some(0), S + 27)]
    );
    assert_eq!(pressed(18, false, true), []);
    assert_eq!(pressed(18, true, false), []);
}

#[test]
fn a_record_that_was_written_reads_back_and_a_bad_line_is_named() {
    let lines = [Line {
        at: 7,
        entry: Entry::Closed {
            ask: 3,
            how: How::ChokedOff,
            tries: 2,
        },
    }];
    let text: String = lines
        .iter()
        .map(|l| serde_json::to_string(l).expect("written") + "\n")
        .collect();
    assert_eq!(read(&text).expect("read"), lines);
    let fault = read(&format!("{text}{{\"at\":1}}\n")).expect_err("no entry");
    assert!(fault.starts_with("line 2:"), "{fault}");
}
