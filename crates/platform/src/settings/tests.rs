use std::time::Duration;

use arrowstand_balancer::{
    BalancerIdentity, DeduplicationScope, Fees, HostCapabilities, Idempotency, RetrySettings,
    Settings, SlowStartSettings,
};

use super::{MembershipMode, PlatformSettings, SimulatorFeatures, TransportSettings};
use crate::json::{Node, parse};
use crate::load_report::LoadReportLayout;

/// Differs from the default in [`Settings`].
const DEFAULT_MAX_RETRY_AFTER: u64 = 77_000;

const EVERY_KEY: &str = concat!(
    r#"{"az": "z1", "zones": ["z0", "z1"], "step-ms": 5.0, "membership-mode": "on_request",
  "my-number": 3, "balancers": 300, "worth-by": "work",
  "request-classes": [
   {"name": "look", "semantics": "pure", "importance": 2.5, "late-value": 0.25, "aim-stretch": 1.5,
    "objective-ms": 150.0004, "deadline-ms": 600, "streamed": true},
   {"name": "pay", "semantics": "token", "dedup-scope": "cell", "window-ms": 60000, "#,
    r#""objective-ms": 1,
    "deadline-ms": 2},
   {"name": "book", "semantics": "side_effect", "objective-ms": 1, "deadline-ms": 2}],
  "permissions": {"cancel": true, "probes": true, "peers": true, "may-duplicate": true, "#,
    r#""retry-after": true,
   "max-retry-after-ms": 2000.0, "max-attempts": 5, "connect-timeout-ms": 300.5, "#,
    r#""idle-close-ms": 750},
  "fees": {"probe": 0.01, "handshake": 0.02, "connection": 0.03, "cross-zone": 0.04},
  "report": {"fields": ["waiting", "active"], "source": "answers"},
  "safety": {"ask-every-ms": 20000.0, "cold-from": 0.13, "cold-ms": 24000.0, "#,
    r#""overload-factor": 3.5, "fall-ms": 900,
   "only-draining-binds": true, "drain-grace-ms": 1500.0}}"#,
);

/// The three groups of a settings object.
struct SettingsGroups {
    platform: PlatformSettings,
    features: SimulatorFeatures,
    transport: TransportSettings,
}

impl SettingsGroups {
    fn read(text: &str) -> Self {
        let value = parse(text, 8).expect("JSON");
        let settings_node = Node::root(&value);
        let platform = PlatformSettings::read(&settings_node, DEFAULT_MAX_RETRY_AFTER);
        Self {
            platform: platform.expect("settings"),
            features: SimulatorFeatures::read(&settings_node).expect("features"),
            transport: TransportSettings::read(&settings_node).expect("transport"),
        }
    }
}

#[test]
fn names_zones_and_numbers_of_the_deployment_are_read() {
    let platform = SettingsGroups::read(EVERY_KEY).platform;

    let identity = BalancerIdentity {
        zone: 1,
        index: 3,
        count: 300,
    };
    let layout = LoadReportLayout {
        in_flight: Some(1),
        queued: Some(0),
    };
    assert_eq!(platform.class_names, ["look", "pay", "book"]);
    assert_eq!(platform.zones, ["z0", "z1"]);
    assert_eq!(platform.load_report, layout);
    assert_eq!(platform.balancer.identity, identity);
    assert_eq!(platform.balancer.min_call_interval, 5_000);
    assert!(platform.balancer.weight_by_work);
}

#[test]
fn simulator_features_are_read() {
    let features = SettingsGroups::read(EVERY_KEY).features;

    let expected = SimulatorFeatures {
        gossip: true,
        retry_after: true,
        poll_endpoints: true,
        streamed: vec![true, false, false],
    };
    assert_eq!(features, expected);
}

#[test]
fn permissions_and_fees_are_read() {
    let settings = SettingsGroups::read(EVERY_KEY).platform.balancer;

    let retries = RetrySettings {
        max_attempts: 5,
        hedging: true,
        max_retry_after: 2_000_000,
    };
    let fees = Fees {
        health_check: 0.01,
        handshake: 0.02,
        connection: 0.03,
        cross_zone: 0.04,
    };
    assert!(settings.host.cancellation);
    assert!(settings.host.health_checks);
    assert!(settings.host.load_reports_in_health_checks);
    assert!(settings.host.load_reports_in_responses);
    assert_eq!(settings.retries, retries);
    assert_eq!(settings.fees, fees);
}

#[test]
fn safety_rules_and_transport_settings_are_read() {
    let SettingsGroups {
        platform,
        transport,
        ..
    } = SettingsGroups::read(EVERY_KEY);

    let settings = &platform.balancer;
    let slow_start = SlowStartSettings {
        initial_capacity: 0.13,
        duration: 24_000_000,
        overload_factor: 3.5,
        overload_window: 900_000,
    };
    let expected = TransportSettings {
        connect_timeout: Duration::from_micros(300_500),
        idle_timeout: Duration::from_millis(750),
        drain_grace: Duration::from_millis(1_500),
        membership: MembershipMode::OnRequest,
    };
    assert!(settings.allow_removed_servers);
    assert_eq!(settings.idle_timeout, 750_000);
    assert_eq!(settings.polling.max_interval, 20_000_000);
    assert_eq!(settings.slow_start, slow_start);
    assert_eq!(transport, expected);
}

#[test]
fn every_key_of_a_request_class_is_read() {
    let settings = SettingsGroups::read(EVERY_KEY).platform.balancer;

    let [look, pay, book] = &settings.classes[..] else {
        panic!("three classes");
    };
    assert_eq!(look.priority_weight, 2.5);
    assert_eq!(look.late_value, 0.25);
    assert_eq!(look.objective_per_work, 1.5);
    assert_eq!(look.latency_objective, 150_000);
    assert_eq!(look.deadline, 600_000);
    assert_eq!(look.idempotency, Idempotency::Idempotent);
    assert_eq!(look.deduplication_scope, DeduplicationScope::All);
    assert_eq!(pay.idempotency, Idempotency::IdempotencyKey);
    assert_eq!(pay.deduplication_scope, DeduplicationScope::Cell);
    assert_eq!(pay.deduplication_window, 60_000_000);
    assert_eq!(pay.priority_weight, 1.0);
    assert_eq!(pay.late_value, 0.0);
    assert_eq!(pay.objective_per_work, 0.0);
    assert_eq!(book.idempotency, Idempotency::NonIdempotent);
}

/// The balancer's settings that are read from an empty settings object.
fn settings_without_keys() -> Settings {
    Settings {
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
    }
}

#[test]
fn missing_keys_take_the_defaults_and_turn_permissions_off() {
    let SettingsGroups {
        platform, features, ..
    } = SettingsGroups::read("{}");

    let expected = settings_without_keys();
    assert_eq!(format!("{:?}", platform.balancer), format!("{expected:?}"));
    assert_eq!(platform.load_report, LoadReportLayout::default());
    assert_eq!(features, SimulatorFeatures::default());
}

#[test]
fn simulator_features_are_off_until_they_are_applied() {
    let SettingsGroups {
        platform, features, ..
    } = SettingsGroups::read(EVERY_KEY);
    let mut settings = platform.balancer;
    assert!(!settings.host.gossip);
    assert!(!settings.host.retry_after);
    assert!(!settings.polling.required);
    assert!(settings.classes.iter().all(|class| !class.streamed));

    features.apply(&mut settings);

    assert!(settings.host.gossip);
    assert!(settings.host.retry_after);
    assert!(settings.polling.required);
    assert!(settings.classes[0].streamed);
    assert!(!settings.classes[1].streamed);
}

/// Settings for load reports, and whether health checks and responses carry reports with them.
const REPORT_SOURCES: [(&str, bool, bool); 5] = [
    (r#"{"fields": ["active"]}"#, true, false),
    (r#"{"fields": ["active"], "source": "probes"}"#, true, false),
    (r#"{"fields": ["active"], "source": "answers"}"#, true, true),
    (r#"{"fields": ["active"], "source": "none"}"#, false, false),
    (
        r#"{"fields": ["waiting"], "source": "answers"}"#,
        false,
        true,
    ),
];

#[test]
fn health_checks_carry_reports_given_a_requests_in_flight_field_and_a_source() {
    for (report, in_health_checks, in_responses) in REPORT_SOURCES {
        let text = format!(r#"{{"report": {report}}}"#);

        let host = SettingsGroups::read(&text).platform.balancer.host;

        assert_eq!(
            host.load_reports_in_health_checks, in_health_checks,
            "{report}"
        );
        assert_eq!(host.load_reports_in_responses, in_responses, "{report}");
    }
}
