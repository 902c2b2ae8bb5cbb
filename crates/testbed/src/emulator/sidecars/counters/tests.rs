//! Counters are read from the end of a log, and add up.

use super::Counters;

#[test]
fn counters_are_those_after_the_last_stop() {
    let log = "started\nstopped\nattempts_served 1\nstarted\nstopped\n  attempts_served 7\n\
               attempts_error x\nnothing\nhealth_checks_sent 12\n";
    let counters = Counters::at_end_of(log).expect("printed");
    assert_eq!(counters.get("attempts_served"), 7);
    assert_eq!(counters.get("health_checks_sent"), 12);
    assert_eq!(counters.get("attempts_error"), 0);
    let mut sum = counters.clone();
    sum.add(&counters);
    assert_eq!(sum.get("attempts_served"), 14);
}

#[test]
fn a_log_without_a_stop_has_no_counters() {
    assert_eq!(Counters::at_end_of("started\nattempts_served 7\n"), None);
    assert_eq!(Counters::at_end_of(""), None);
}
