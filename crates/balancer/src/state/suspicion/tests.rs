use super::{Suspicion, SuspicionRecord};
use crate::EjectionCause;
use crate::Micros;

const MEMORY: Micros = 1_000;

fn eject(record: &mut SuspicionRecord, now: Micros) {
    let ejections = record.ejections_before(now, MEMORY);
    let suspicion = Suspicion {
        cause: EjectionCause::Attempts,
        since: now,
        ejection_time: 100,
    };
    record.on_ejected(suspicion, ejections);
}

#[test]
fn ejections_within_the_memory_count_and_older_ones_are_forgotten() {
    let mut record = SuspicionRecord::default();
    eject(&mut record, 5_000);
    assert!(!record.is_flapping(5_500, MEMORY));
    record.on_readmitted();
    assert_eq!(record.ejections_before(5_500, MEMORY), 1);
    eject(&mut record, 5_500);
    assert!(record.is_flapping(6_000, MEMORY) && !record.is_flapping(6_500, MEMORY));
    assert_eq!(record.ejections_before(6_501, MEMORY), 0);
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
