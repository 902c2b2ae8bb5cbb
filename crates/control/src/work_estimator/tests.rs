use arrowstand_balancer::{ClassId, LoadReport, Micros, ServerId};
use proptest::prelude::*;

use super::{MAX_REPORT_AGE, WorkEstimator};

const EMPTY_QUEUE: LoadReport = LoadReport {
    in_flight: 1.0,
    queued: 0.0,
};

/// Serves one request on a server whose load report showed an empty queue.
fn serve(estimator: &mut WorkEstimator, now: Micros, class: u16, server: u32, elapsed: Micros) {
    let server = ServerId(server);
    estimator.on_load_report(now, server, EMPTY_QUEUE);
    let context = estimator.on_attempt_started(now, server);
    estimator.on_attempt_served(ClassId(class), &context, elapsed);
}

#[test]
fn work_is_estimated_per_class_once_every_class_has_samples() {
    let mut estimator = WorkEstimator::new(2);
    (0..30).for_each(|n| serve(&mut estimator, n * 1_000, 0, 0, 40_000));
    assert_eq!(estimator.expected_work(ClassId(0)), None);

    (30..60).for_each(|n| serve(&mut estimator, n * 1_000, 1, 0, 110_000));

    let light = estimator.expected_work(ClassId(0)).expect("known");
    let heavy = estimator.expected_work(ClassId(1)).expect("known");
    assert!((39_000..41_000).contains(&light), "{light}");
    assert!((100_000..120_000).contains(&heavy), "{heavy}");
}

/// Returns an estimator with 30 samples for its only class, the last at 29,000 us.
fn trained_estimator() -> WorkEstimator {
    let mut estimator = WorkEstimator::new(1);
    (0..30).for_each(|n| serve(&mut estimator, n * 1_000, 0, 0, 40_000));
    estimator
}

#[test]
fn attempts_that_queued_are_not_sampled() {
    let mut estimator = trained_estimator();
    let before = estimator.expected_work(ClassId(0));
    let full_queue = LoadReport {
        in_flight: 9.0,
        queued: 6.0,
    };

    estimator.on_load_report(40_000, ServerId(0), full_queue);
    for _ in 0..200 {
        let context = estimator.on_attempt_started(40_000, ServerId(0));
        estimator.on_attempt_served(ClassId(0), &context, 900_000);
    }

    assert_eq!(estimator.expected_work(ClassId(0)), before);
}

#[test]
fn an_attempt_after_an_outdated_load_report_is_not_sampled() {
    let mut estimator = trained_estimator();
    let before = estimator.expected_work(ClassId(0));

    estimator.on_load_report(50_000, ServerId(0), EMPTY_QUEUE);
    let context = estimator.on_attempt_started(50_001 + MAX_REPORT_AGE, ServerId(0));
    estimator.on_attempt_served(ClassId(0), &context, 900_000);

    assert_eq!(estimator.expected_work(ClassId(0)), before);
}

#[test]
fn one_costly_request_in_fifty_shifts_the_mean_by_a_few_percent() {
    const REGULAR_WORK: Micros = 40_000;
    const COSTLY_WORK: Micros = 26 * REGULAR_WORK;
    let mut estimator = WorkEstimator::new(1);

    for n in 0..20_000 {
        let elapsed = if n % 50 == 7 {
            COSTLY_WORK
        } else {
            REGULAR_WORK
        };
        serve(&mut estimator, n, 0, 0, elapsed);
    }

    let expected = estimator.expected_work(ClassId(0)).expect("known");
    assert!((38_000..44_000).contains(&expected), "{expected}");
}

#[test]
fn a_slow_server_has_a_higher_latency_factor_than_an_average_server() {
    const SLOW_SERVER: u32 = 3;
    let mut estimator = WorkEstimator::new(1);

    for (now, server) in (0..3_000).zip((0..=SLOW_SERVER).cycle()) {
        let elapsed = if server == SLOW_SERVER {
            80_000
        } else {
            40_000
        };
        serve(&mut estimator, now, 0, server, elapsed);
    }

    let slow = estimator
        .latency_factor(ServerId(SLOW_SERVER))
        .expect("known");
    let average = estimator.latency_factor(ServerId(0)).expect("known");
    assert!((1.8..2.2).contains(&(slow / average)), "{slow} {average}");
}

prop_compose! {
    /// An attempt: class, server, response time, and the load report that precedes it.
    fn any_attempt()(
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
    /// Estimates stay finite, positive and bounded for any load reports and response times.
    #[test]
    fn estimates_stay_finite_positive_and_bounded(
        attempts in prop::collection::vec(any_attempt(), 0..400),
    ) {
        let mut estimator = WorkEstimator::new(3);

        for (now, (class, server, elapsed, report)) in (0..).zip(attempts) {
            estimator.on_load_report(now, server, report);
            let context = estimator.on_attempt_started(now, server);
            estimator.on_attempt_served(class, &context, elapsed);
        }

        for class in 0..3 {
            if let Some(expected) = estimator.expected_work(ClassId(class)) {
                prop_assert!((1..=100_000_000).contains(&expected));
            }
        }
        prop_assert_eq!(estimator.expected_work(ClassId(9)), None);
    }
}
