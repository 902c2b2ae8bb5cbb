//! Random scripts of events, checked for the rules that every request keeps.

mod rules;
mod script;

use script::Script;

#[test]
fn random_events_keep_the_rules_of_requests() {
    for seed in 0..40 {
        let mut script = Script::new(seed);
        for _ in 0..3_000 {
            script.step();
            assert_eq!(
                script.overdue(),
                0,
                "seed {seed}: a request without its answer"
            );
        }
    }
}
