//! Random sequences of events, with checks of the invariants that hold for every request.

mod harness;
mod invariants;

use harness::Harness;

#[test]
fn invariants_of_requests_hold_for_random_events() {
    for seed in 0..40 {
        let mut harness = Harness::new(seed);
        for _ in 0..3_000 {
            harness.step();
            assert_eq!(
                harness.overdue_request_count(),
                0,
                "seed {seed}: a request got no final response in time"
            );
        }
    }
}
