//! Parsing of counters from a log, and their addition.

use super::Counters;

#[test]
fn counters_after_the_last_marker_are_parsed_and_added() {
    let log = "started\nstopped\nattempts_served 1\nstarted\nstopped\n  attempts_served 7\n\
               attempts_error x\nnothing\nhealth_checks_sent 12\n";
    let counters = Counters::from_log(log).expect("printed");
    assert_eq!(counters.get("attempts_served"), 7);
    assert_eq!(counters.get("health_checks_sent"), 12);
    assert_eq!(counters.get("attempts_error"), 0);
    let mut sum = counters.clone();
    sum.add(&counters);
    assert_eq!(sum.get("attempts_served"), 14);
}

#[test]
fn a_log_without_a_marker_has_no_counters() {
    assert_eq!(Counters::from_log("started\nattempts_served 7\n"), None);
    assert_eq!(Counters::from_log(""), None);
}
