//! Dispatch of first attempts, and handling of invalid settings and unknown identifiers.

use crate::common::{
    Driver, MS, REQUEST_TIMER_TOKEN, endpoint, endpoint_changed, has_rejection, sent_to, settings,
};
use arrowstand_balancer::{
    Action, Balancer, BalancerIdentity, ClassId, Endpoint, Event, Fees, IncomingRequest,
    LoadReport, Outcome, RequestId, RetrySettings, ServerId, Settings, SlowStartSettings,
};

#[test]
fn attempt_times_out_before_the_objective_if_late_responses_have_no_value() {
    let mut driver = Driver::new(settings(), 4);
    for class in 0..3 {
        let (_, actions) = driver.request(class);
        let timeouts = actions.iter().filter_map(|action| match action {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        });
        assert!(timeouts.max().expect("the request is sent") < 250 * MS);
    }
}

#[test]
fn request_is_rejected_exactly_once_if_no_server_is_known() {
    let mut driver = Driver::new(settings(), 0);
    let (_, mut actions) = driver.request(2);
    for _ in 0..20 {
        driver.now += 25 * MS;
        actions.extend(driver.handle(Event::TimerFired {
            token: REQUEST_TIMER_TOKEN,
        }));
    }
    assert_eq!(
        actions
            .iter()
            .filter(|action| matches!(action, Action::Reject { .. }))
            .count(),
        1
    );
}

#[test]
fn request_with_more_work_than_its_objective_allows_is_rejected_on_arrival() {
    let mut driver = Driver::new(settings(), 3);
    let (id, class) = (RequestId(9_000), ClassId(0));
    let incoming = IncomingRequest {
        id,
        class,
        time_left: 600 * MS,
        work_hint: Some(900 * MS),
    };
    assert!(has_rejection(
        &driver.handle(Event::RequestArrived(incoming))
    ));
}

#[test]
fn server_in_slow_start_gets_its_fraction_of_first_requests_over_many_balancers() {
    let mut sends = 0;
    for seed in 0..800 {
        let mut driver = Driver::with_seed(
            Settings {
                slow_start: SlowStartSettings {
                    initial_capacity: 0.25,
                    ..settings().slow_start
                },
                ..settings()
            },
            3,
            seed,
        );
        let incarnation = Some(driver.now);
        driver.handle(endpoint_changed(Endpoint {
            incarnation,
            ..endpoint(7)
        }));
        sends += u32::from(driver.serve(0) == ServerId(7));
    }
    // A warm server gets 200 of the 800 requests. One that has just started gets a quarter of that
    // or a little more.
    assert!((30..90).contains(&sends), "{sends}");
}

#[test]
fn invalid_settings_are_rejected_with_the_name_of_the_setting() {
    let error_message = |settings: Settings| {
        Balancer::new(settings, 0)
            .err()
            .expect("the settings are rejected")
            .to_string()
    };
    assert!(error_message(Settings::default()).contains("classes"));
    assert!(
        error_message(Settings {
            slow_start: SlowStartSettings {
                initial_capacity: 0.0,
                ..settings().slow_start
            },
            ..settings()
        })
        .contains("initial_capacity")
    );
    assert!(
        error_message(Settings {
            retries: RetrySettings {
                max_attempts: 0,
                ..settings().retries
            },
            ..settings()
        })
        .contains("max_attempts")
    );
    let mut invalid = settings();
    invalid.classes[1].priority_weight = f64::NAN;
    assert!(error_message(invalid).contains("classes[1].priority_weight"));
}

#[test]
fn events_about_unknown_requests_and_servers_are_ignored() {
    let mut driver = Driver::new(settings(), 2);
    assert!(
        driver
            .end_attempt(RequestId(5), 0, ServerId(50), Outcome::Served)
            .is_empty()
    );
    assert!(
        driver
            .end_attempt(RequestId(5), 3, ServerId(1), Outcome::Reset)
            .is_empty()
    );
    assert!(
        driver
            .handle(Event::ClientDisconnected {
                request: RequestId(5)
            })
            .is_empty()
    );
    assert!(
        driver
            .end_health_check(ServerId(50), Outcome::Served)
            .is_empty()
    );
    assert!(driver.handle(Event::TimerFired { token: 999 }).is_empty());
    let report = Some(LoadReport {
        in_flight: f64::NAN,
        queued: -1.0,
    });
    driver.report_load(ServerId(0), report);
    assert_eq!(driver.servers_in_use(), [0, 1]);
}

/// The balancer starts with a stale endpoint list: connections to four of five servers fail, and no
/// update arrives.
#[test]
fn most_requests_are_served_although_most_servers_of_a_stale_list_are_gone() {
    // Requests served in the first and in the second half of the run.
    let (mut early, mut late) = (0, 0);
    for seed in 0..40 {
        let settings_with_handshake_fee = Settings {
            fees: Fees {
                handshake: 0.05,
                ..settings().fees
            },
            identity: BalancerIdentity {
                count: 300,
                index: seed,
                ..settings().identity
            },
            ..settings()
        };
        let mut driver = Driver::with_seed(settings_with_handshake_fee, 60, u64::from(seed));
        for n in 0..120 {
            driver.now += 200 * MS;
            driver.tick();
            let (id, actions) = driver.request(0);
            let (mut next, mut attempt) = (sent_to(&actions), 0);
            while let Some(server) = next {
                let gone = server.0 % 5 != 0;
                let outcome = if gone {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Served
                };
                driver.now += MS;
                next = sent_to(&driver.end_attempt(id, attempt, server, outcome));
                attempt += 1;
                *(if n < 60 { &mut early } else { &mut late }) += u32::from(!gone);
            }
        }
    }
    // At least 80 % of the 2,400 requests of the first half, in which failures are detected, and
    // 90 % of those of the second.
    assert!(early >= 1_920 && late >= 2_160, "{early} {late}");
}
