use std::time::Duration;

use arrowstand_balancer::{
    BalancerIdentity, DeduplicationScope, Fees, HostCapabilities, Idempotency, RetrySettings,
    Settings,
};

use super::{MembershipMode, PlatformSettings, SimulatorFeatures, TransportSettings};
use crate::json::{Node, parse};
use crate::load_report::LoadReportLayout;

/// Differs from the default of [`Settings`].
const DEFAULT_MAX_RETRY_AFTER: u64 = 77_000;

const EVERY_KEY: &str = r#"{"az": "z1", "zones": ["z0", "z1"], "step-ms": 5.0, "membership-mode": "on_request",
  "my-number": 3, "balancers": 300, "worth-by": "work",
  "request-classes": [
   {"name": "look", "semantics": "pure", "importance": 2.5, "late-value": 0.25, "aim-stretch": 1.5,
    "objective-ms": 150.0004, "deadline-ms": 600, "streamed": true},
   {"name": "pay", "semantics": "token", "dedup-scope": "cell", "window-ms": 60000, "objective-ms": 1,
    "deadline-ms": 2},
   {"name": "book", "semantics": "side_effect", "objective-ms": 1, "deadline-ms": 2}],
  "permissions": {"cancel": true, "probes": true, "peers": true, "may-duplicate": true, "retry-after": true,
   "max-retry-after-ms": 2000.0, "max-attempts": 5, "connect-timeout-ms": 300.5, "idle-close-ms": 750},
  "fees": {"probe": 0.01, "handshake": 0.02, "connection": 0.03, "cross-zone": 0.04},
  "report": {"fields": ["waiting", "active"], "source": "answers"},
  "safety": {"ask-every-ms": 20000.0, "cold-from": 0.13, "cold-ms": 24000.0, "overload-factor": 3.5, "fall-ms": 900,
   "only-draining-binds": true, "drain-grace-ms": 1500.0}}"#;

fn read(text: &str) -> (PlatformSettings, SimulatorFeatures, TransportSettings) {
    let value = parse(text, 8).expect("JSON");
    let conf = Node::root(&value);
    (
        PlatformSettings::read(&conf, DEFAULT_MAX_RETRY_AFTER).expect("settings"),
        SimulatorFeatures::read(&conf).expect("features"),
        TransportSettings::read(&conf).expect("transport"),
    )
}

#[test]
fn names_zones_and_numbers_of_the_deployment_are_read() {
    let (platform, features, _) = read(EVERY_KEY);
    let settings = &platform.balancer;
    assert_eq!(platform.class_names, ["look", "pay", "book"]);
    assert_eq!(platform.zones, ["z0", "z1"]);
    let layout = LoadReportLayout {
        in_flight: Some(1),
        queued: Some(0),
    };
    assert_eq!(platform.load_report, layout);
    assert_eq!((settings.identity.zone, settings.step), (1, 5_000));
    assert_eq!((settings.identity.index, settings.identity.count), (3, 300));
    assert!(settings.weight_by_work);
    assert!(features.gossip && features.retry_after && features.poll_endpoints);
    assert_eq!(features.streamed, [true, false, false]);
}

#[test]
fn permissions_and_fees_are_read() {
    let (platform, _, _) = read(EVERY_KEY);
    let settings = &platform.balancer;
    assert!(settings.host.cancellation && settings.host.health_checks && settings.retries.hedging);
    assert!(settings.host.load_reports && settings.host.load_reports_in_responses);
    assert_eq!(
        (
            settings.retries.max_retry_after,
            settings.retries.max_attempts
        ),
        (2_000_000, 5)
    );
    assert_eq!(
        (settings.fees.health_check, settings.fees.handshake),
        (0.01, 0.02)
    );
    assert_eq!(
        (settings.fees.connection, settings.fees.cross_zone),
        (0.03, 0.04)
    );
}

#[test]
fn safety_rules_and_connection_times_are_read() {
    let (platform, _, transport) = read(EVERY_KEY);
    let settings = &platform.balancer;
    assert!(settings.only_draining_binds);
    assert_eq!(
        (settings.idle_timeout, settings.polling.max_interval),
        (750_000, 20_000_000)
    );
    assert_eq!(
        (
            settings.slow_start.initial_capacity,
            settings.slow_start.overload_factor
        ),
        (0.13, 3.5)
    );
    assert_eq!(
        (
            settings.slow_start.duration,
            settings.slow_start.overload_window
        ),
        (24_000_000, 900_000)
    );
    let expected = TransportSettings {
        connect_timeout: Duration::from_micros(300_500),
        idle_timeout: Duration::from_millis(750),
        drain_grace: Duration::from_millis(1_500),
        membership: MembershipMode::OnRequest,
    };
    assert_eq!(transport, expected);
}

#[test]
fn every_key_of_a_class_reaches_its_setting() {
    let (platform, _, _) = read(EVERY_KEY);
    let [look, pay, book] = &platform.balancer.classes[..] else {
        panic!("three classes");
    };
    assert_eq!(
        (
            look.priority_weight,
            look.late_value,
            look.objective_per_work
        ),
        (2.5, 0.25, 1.5)
    );
    assert_eq!((look.latency_objective, look.deadline), (150_000, 600_000));
    assert_eq!(look.idempotency, Idempotency::Idempotent);
    assert_eq!(look.deduplication_scope, DeduplicationScope::All);
    assert_eq!(pay.idempotency, Idempotency::IdempotencyKey);
    assert_eq!(pay.deduplication_scope, DeduplicationScope::Cell);
    assert_eq!(pay.deduplication_window, 60_000_000);
    assert_eq!(
        (pay.priority_weight, pay.late_value, pay.objective_per_work),
        (1.0, 0.0, 0.0)
    );
    assert_eq!(book.idempotency, Idempotency::NonIdempotent);
}

#[test]
fn missing_keys_get_the_balancers_defaults_and_turn_permissions_off() {
    let (platform, features, transport) = read("{}");
    let expected = Settings {
        identity: BalancerIdentity {
            zone: u32::MAX,
            ..BalancerIdentity::default()
        },
        host: HostCapabilities {
            cancellation: false,
            health_checks: false,
            retry_after: false,
            ..HostCapabilities::default()
        },
        retries: RetrySettings {
            hedging: false,
            max_retry_after: DEFAULT_MAX_RETRY_AFTER,
            ..RetrySettings::default()
        },
        fees: Fees {
            health_check: 0.0,
            ..Fees::default()
        },
        ..Settings::default()
    };
    assert_eq!(format!("{:?}", platform.balancer), format!("{expected:?}"));
    assert_eq!(platform.load_report, LoadReportLayout::default());
    assert_eq!(features, SimulatorFeatures::default());
    let expected = TransportSettings {
        connect_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_secs(5),
        drain_grace: Duration::from_secs(2),
        membership: MembershipMode::Unspecified,
    };
    assert_eq!(transport, expected);
    let idle_timeout = Duration::from_micros(platform.balancer.idle_timeout);
    assert_eq!(idle_timeout, transport.idle_timeout, "one default for both");
}

#[test]
fn features_are_off_until_they_are_applied() {
    let (platform, features, _) = read(EVERY_KEY);
    let mut settings = platform.balancer;
    assert!(!settings.host.gossip && !settings.host.retry_after && !settings.polling.required);
    assert!(settings.classes.iter().all(|class| !class.streamed));
    features.apply(&mut settings);
    assert!(settings.host.gossip && settings.host.retry_after && settings.polling.required);
    assert!(settings.classes[0].streamed && !settings.classes[1].streamed);
}

#[test]
fn keys_of_the_simulator_are_ignored_by_the_common_reader() {
    let text = r#"{"membership-mode": 1, "permissions": {"peers": "no", "retry-after": 1},
        "request-classes": [{"name": "a", "semantics": "pure", "objective-ms": 1, "deadline-ms": 1, "streamed": 0}]}"#;
    let value = parse(text, 8).expect("JSON");
    let conf = Node::root(&value);
    assert!(PlatformSettings::read(&conf, 0).is_ok());
    let error = SimulatorFeatures::read(&conf).expect_err("a number");
    assert_eq!(
        error.to_string(),
        "permissions.peers: must be true or false"
    );
}

#[test]
fn a_report_without_requests_in_flight_or_without_a_source_is_no_load_report() {
    for (report, expected) in [
        (r#"{"fields": ["active"]}"#, (true, false)),
        (
            r#"{"fields": ["active"], "source": "probes"}"#,
            (true, false),
        ),
        (
            r#"{"fields": ["active"], "source": "answers"}"#,
            (true, true),
        ),
        (
            r#"{"fields": ["active"], "source": "none"}"#,
            (false, false),
        ),
        (
            r#"{"fields": ["waiting"], "source": "answers"}"#,
            (false, true),
        ),
    ] {
        let (platform, _, _) = read(&format!(r#"{{"report": {report}}}"#));
        let settings = platform.balancer;
        let found = (
            settings.host.load_reports,
            settings.host.load_reports_in_responses,
        );
        assert_eq!(found, expected, "{report}");
    }
}

#[test]
fn a_timeout_of_zero_is_named() {
    for (key, other) in [
        ("connect-timeout-ms", "idle-close-ms"),
        ("idle-close-ms", "connect-timeout-ms"),
    ] {
        let text = format!(r#"{{"permissions": {{"{key}": 0, "{other}": 1}}}}"#);
        let value = parse(&text, 8).expect("JSON");
        let conf = Node::root(&value);
        let transport = TransportSettings::read(&conf).expect("transport");
        let error = transport.check_timeouts(&conf).expect_err("zero");
        assert_eq!(
            error.to_string(),
            format!("permissions.{key}: must be above zero")
        );
    }
}
