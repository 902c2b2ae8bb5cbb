use arrowstand_balancer::{ClassId, LoadReport, Micros, ServerId};
use proptest::prelude::*;

use super::{MAX_REPORT_AGE, WorkEstimator};

const EMPTY_QUEUE: LoadReport = LoadReport {
    in_flight: 1.0,
    queued: 0.0,
};

/// A server that had nothing queued serves a request.
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

    let light = work.expected_work(ClassId(0)).expect("known");
    let heavy = work.expected_work(ClassId(1)).expect("known");
    assert!((39_000..41_000).contains(&light), "{light}");
    assert!((100_000..120_000).contains(&heavy), "{heavy}");
}

/// An estimator that knows the work of its one class from 30 samples, the last at 29,000.
fn trained_estimator() -> WorkEstimator {
    let mut work = WorkEstimator::new(1);
    (0..30).for_each(|n| serve(&mut work, n * 1_000, 0, 0, 40_000));
    work
}

#[test]
fn attempts_that_queued_are_not_counted() {
    let mut work = trained_estimator();
    let before = work.expected_work(ClassId(0));
    let full_queue = LoadReport {
        in_flight: 9.0,
        queued: 6.0,
    };

    work.on_load_report(40_000, ServerId(0), full_queue);
    for _ in 0..200 {
        let sent = work.on_attempt_started(40_000, ServerId(0));
        work.on_attempt_served(ClassId(0), &sent, 900_000);
    }

    assert_eq!(work.expected_work(ClassId(0)), before);
}

#[test]
fn an_attempt_after_an_old_report_is_not_counted() {
    let mut work = trained_estimator();
    let before = work.expected_work(ClassId(0));

    work.on_load_report(50_000, ServerId(0), EMPTY_QUEUE);
    let sent = work.on_attempt_started(50_001 + MAX_REPORT_AGE, ServerId(0));
    work.on_attempt_served(ClassId(0), &sent, 900_000);

    assert_eq!(work.expected_work(ClassId(0)), before);
}

#[test]
fn a_costly_request_in_fifty_moves_the_mean_by_a_few_per_cent() {
    const USUAL: Micros = 40_000;
    const COSTLY: Micros = 26 * USUAL;
    let mut work = WorkEstimator::new(1);

    for n in 0..20_000 {
        let elapsed = if n % 50 == 7 { COSTLY } else { USUAL };
        serve(&mut work, n, 0, 0, elapsed);
    }

    let expected = work.expected_work(ClassId(0)).expect("known");
    assert!((38_000..44_000).contains(&expected), "{expected}");
}

#[test]
fn a_slow_server_gets_a_latency_factor_and_leaves_the_work_alone() {
    const SLOW_SERVER: u32 = 3;
    let mut work = WorkEstimator::new(1);

    for (now, server) in (0..3_000).zip((0..=SLOW_SERVER).cycle()) {
        let elapsed = if server == SLOW_SERVER {
            80_000
        } else {
            40_000
        };
        serve(&mut work, now, 0, server, elapsed);
    }

    let slow = work.latency_factor(ServerId(SLOW_SERVER)).expect("known");
    let average = work.latency_factor(ServerId(0)).expect("known");
    assert!((1.8..2.2).contains(&(slow / average)), "{slow} {average}");
}

prop_compose! {
    /// An attempt: its class, its server, its response time, and the queue that was reported before.
    fn any_sample()(
        class in 0u16..3,
        server in 0u32..6,
        elapsed in 1u64..5_000_000,
        queued in -1.0f64..40.0,
    ) -> (ClassId, ServerId, Micros, LoadReport) {
        let report = LoadReport { in_flight: 1.0, queued };
        (ClassId(class), ServerId(server), elapsed, report)
    }
}

proptest! {
    /// Whatever is reported and served, the estimates stay finite, positive and within a bound.
    #[test]
    fn estimates_stay_finite_positive_and_bounded(
        samples in prop::collection::vec(any_sample(), 0..400),
    ) {
        let mut work = WorkEstimator::new(3);

        for (now, (class, server, elapsed, report)) in (0..).zip(samples) {
            work.on_load_report(now, server, report);
            let sent = work.on_attempt_started(now, server);
            work.on_attempt_served(class, &sent, elapsed);
        }

        for class in 0..3 {
            if let Some(expected) = work.expected_work(ClassId(class)) {
                prop_assert!((1..=100_000_000).contains(&expected));
            }
        }
        prop_assert_eq!(work.expected_work(ClassId(9)), None);
    }
}
