//! The limit between a machine that ran late and one that kept up.

use super::{LATE, Timeliness};

#[test]
fn a_machine_that_runs_late_is_noticed_and_one_that_just_does_not_is_believed() {
    let unreliable = |late: u64| {
        let timeliness = Timeliness::default();
        for turn in 0..1_000 {
            timeliness.on_done(0, if turn < late { 2 * LATE } else { 900 });
        }
        timeliness.unreliable()
    };
    assert_eq!(unreliable(10), None);
    assert!(unreliable(11).is_some_and(|why| why.contains("ran late")));
}
