use arrowstand_balancer::{ClassId, LoadReport, Micros, ServerId};
use proptest::prelude::*;

use super::{MAX_REPORT_AGE, WorkEstimator};

const EMPTY_QUEUE: LoadReport = LoadReport {
    in_flight: 1.0,
    queued: 0.0,
};

fn serve(work: &mut WorkEstimator, now: Micros, class: u16, server: u32, elapsed: Micros) {
    let server = ServerId(server);
    work.on_load_report(now, server, EMPTY_QUEUE);
    let sent = work.on_attempt_started(now, server);
    work.on_attempt_served(ClassId(class), &sent, elapsed);
}

#[test]
fn work_is_estimated_per_class_once_every_class_has_samples() {
    let mut work = WorkEstimator::new(2);
    (0..30).for_each(|n| serve(&mut work, n * 1_000, 0, 0, 40_000));
    assert_eq!(work.expected_work(ClassId(0)), None);
    (30..60).for_each(|n| serve(&mut work, n * 1_000, 1, 0, 110_000));
    assert!(
        work.expected_work(ClassId(0))
            .is_some_and(|w| (39_000..41_000).contains(&w))
    );
    assert!(
        work.expected_work(ClassId(1))
            .is_some_and(|w| (100_000..120_000).contains(&w))
    );
}

#[test]
fn attempts_that_queued_or_have_an_old_report_are_not_counted() {
    let mut work = WorkEstimator::new(1);
    (0..30).for_each(|n| serve(&mut work, n * 1_000, 0, 0, 40_000));
    let before = work.expected_work(ClassId(0));
    work.on_load_report(
        40_000,
        ServerId(0),
        LoadReport {
            in_flight: 9.0,
            queued: 6.0,
        },
    );
    for _ in 0..200 {
        let sent = work.on_attempt_started(40_000, ServerId(0));
        work.on_attempt_served(ClassId(0), &sent, 900_000);
    }
    // A load report that is too old says nothing of the queue.
    work.on_load_report(50_000, ServerId(0), EMPTY_QUEUE);
    let sent = work.on_attempt_started(50_001 + MAX_REPORT_AGE, ServerId(0));
    work.on_attempt_served(ClassId(0), &sent, 900_000);
    assert_eq!(work.expected_work(ClassId(0)), before);
}

#[test]
fn a_costly_request_in_fifty_moves_the_mean_by_a_few_per_cent() {
    let mut work = WorkEstimator::new(1);
    (0..20_000).for_each(|n| {
        serve(
            &mut work,
            n,
            0,
            0,
            if n % 50 == 7 { 26 * 40_000 } else { 40_000 },
        )
    });
    let expected = work.expected_work(ClassId(0)).expect("known");
    assert!((38_000..44_000).contains(&expected), "{expected}");
}

#[test]
fn a_slow_server_gets_a_latency_factor_and_leaves_the_work_alone() {
    let mut work = WorkEstimator::new(1);
    for n in 0..3_000u64 {
        let server = (n % 4) as u32;
        serve(
            &mut work,
            n,
            0,
            server,
            if server == 3 { 80_000 } else { 40_000 },
        );
    }
    let (slow, average) = (
        work.latency_factor(ServerId(3)).expect("known"),
        work.latency_factor(ServerId(0)).expect("known"),
    );
    assert!((1.8..2.2).contains(&(slow / average)), "{slow} {average}");
}

proptest! {
    /// Whatever is reported and served, the estimates stay finite, positive and within a bound.
    #[test]
    fn estimates_stay_finite_positive_and_bounded(
        samples in prop::collection::vec((0u16..3, 0u32..6, 1u64..5_000_000, -1.0f64..40.0), 0..400),
    ) {
        let mut work = WorkEstimator::new(3);
        for (n, (class, server, elapsed, queued)) in samples.iter().enumerate() {
            work.on_load_report(n as Micros, ServerId(*server), LoadReport { in_flight: 1.0, queued: *queued });
            let sent = work.on_attempt_started(n as Micros, ServerId(*server));
            work.on_attempt_served(ClassId(*class), &sent, *elapsed);
        }
        for class in 0..3 {
            if let Some(expected) = work.expected_work(ClassId(class)) {
                prop_assert!((1..=100_000_000).contains(&expected));
            }
        }
        prop_assert_eq!(work.expected_work(ClassId(9)), None);
    }
}
