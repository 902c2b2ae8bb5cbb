use super::{Suspicion, SuspicionRecord};
use crate::EjectionCause;
use crate::Micros;

const WINDOW: Micros = 1_000;

fn eject(record: &mut SuspicionRecord, now: Micros) {
    let earlier_ejections = record.earlier_ejections(now, WINDOW);
    let suspicion = Suspicion {
        cause: EjectionCause::Attempts,
        since: now,
        ejection_time: 100,
    };
    record.on_ejected(suspicion, earlier_ejections);
}

#[test]
fn ejections_within_the_window_count_and_older_ones_do_not() {
    let mut record = SuspicionRecord::default();
    eject(&mut record, 5_000);
    assert!(!record.is_flapping(5_500, WINDOW));
    record.on_readmitted();
    assert_eq!(record.earlier_ejections(5_500, WINDOW), 1);
    eject(&mut record, 5_500);
    assert!(record.is_flapping(6_000, WINDOW) && !record.is_flapping(6_500, WINDOW));
    assert_eq!(record.earlier_ejections(6_501, WINDOW), 0);
}

#[test]
fn readmission_clears_suspected_and_dead() {
    let mut record = SuspicionRecord::default();
    eject(&mut record, 5_000);
    record.on_declared_dead();
    assert!(record.is_suspected() && record.is_dead());
    assert_eq!(
        record.on_readmitted().map(|suspicion| suspicion.since),
        Some(5_000)
    );
    assert!(!record.is_suspected() && !record.is_dead());
    assert!(record.on_readmitted().is_none());
}

#[test]
fn ejection_time_elapses_after_its_duration() {
    let suspicion = Suspicion {
        cause: EjectionCause::Gossip,
        since: 10,
        ejection_time: 5,
    };
    assert!(!suspicion.ejection_time_elapsed(14) && suspicion.ejection_time_elapsed(15));
}
