use arrowstand_balancer::{
    BalancerIdentity, DeduplicationScope, Fees, HostCapabilities, Idempotency, PollingSettings,
    RequestClass, RetrySettings, Settings, SlowStartSettings,
};

/// Settings with every known key and one unknown key.
const EVERY_KEY: &str = concat!(
    r#"{"az": "z1", "zones": ["z0", "z1"], "step-ms": 4.5, "membership-mode": "on_request",
  "my-number": 3, "balancers": 7, "worth-by": "work", "unheard-of": {"x": [1]},
  "request-classes": [
   {"name": "pay", "semantics": "token", "dedup-scope": "zone", "importance": 1.5, "#,
    r#""late-value": 0.25,
    "aim-stretch": 0.5, "window-ms": 60000, "objective-ms": 150.0004, "deadline-ms": 600, "#,
    r#""streamed": true}],
  "permissions": {"cancel": true, "probes": true, "may-duplicate": true, "peers": true, "#,
    r#""retry-after": true,
   "max-retry-after-ms": 2500, "max-attempts": 5, "idle-close-ms": 750, "#,
    r#""connect-timeout-ms": "ignored"},
  "fees": {"probe": 0.30000000000000004, "handshake": 0.02, "connection": 0.03, "cross-zone": 0.04},
  "report": {"fields": ["waiting", "active"], "source": "answers"},
  "safety": {"ask-every-ms": 20000, "only-draining-binds": true, "cold-from": 0.13, "#,
    r#""cold-ms": 24000,
   "overload-factor": 3.5, "fall-ms": 900, "drain-grace-ms": "ignored"}}"#,
);

const ONE_CLASS: &str = r#"{"request-classes": [
   {"name": "look", "semantics": "side_effect", "objective-ms": 150, "deadline-ms": 600}]}"#;

fn parse_settings(text: &str) -> Settings {
    let conf = serde_json::from_str(text).expect("JSON");
    super::parse(&conf).expect("settings").balancer
}

fn assert_settings(text: &str, expected: &Settings) {
    let settings = parse_settings(text);
    assert_eq!(format!("{settings:#?}"), format!("{expected:#?}"));
}

fn every_class_key() -> RequestClass {
    RequestClass {
        priority_weight: 1.5,
        latency_objective: 150_000,
        deadline: 600_000,
        late_value: 0.25,
        objective_per_work: 0.5,
        idempotency: Idempotency::IdempotencyKey,
        deduplication_scope: DeduplicationScope::Zone,
        deduplication_window: 60_000_000,
        streamed: true,
    }
}

fn every_settings_key() -> Settings {
    Settings {
        classes: vec![every_class_key()],
        identity: BalancerIdentity {
            zone: 1,
            index: 3,
            count: 7,
        },
        min_call_interval: 4_500,
        host: HostCapabilities {
            gossip: true,
            load_reports_in_health_checks: true,
            load_reports_in_responses: true,
            ..HostCapabilities::default()
        },
        retries: RetrySettings {
            max_retry_after: 2_500_000,
            max_attempts: 5,
            ..RetrySettings::default()
        },
        fees: Fees {
            health_check: 0.300_000_000_000_000_04,
            handshake: 0.02,
            connection: 0.03,
            cross_zone: 0.04,
        },
        idle_timeout: 750_000,
        weight_by_work: true,
        polling: PollingSettings {
            required: true,
            max_interval: 20_000_000,
        },
        allow_removed_servers: true,
        slow_start: SlowStartSettings {
            initial_capacity: 0.13,
            duration: 24_000_000,
            overload_factor: 3.5,
            overload_window: 900_000,
        },
    }
}

#[test]
fn every_key_sets_its_setting() {
    let expected = every_settings_key();

    assert_settings(EVERY_KEY, &expected);

    // On in `Settings::default()`, but off in the simulator unless their keys are set.
    assert!(expected.host.cancellation);
    assert!(expected.host.health_checks);
    assert!(expected.host.retry_after);
    assert!(expected.retries.hedging);
}

/// The settings of [`ONE_CLASS`].
fn settings_with_one_class() -> Settings {
    let class = RequestClass::new(Idempotency::NonIdempotent, 150_000, 600_000);
    Settings {
        classes: vec![class],
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
            // The sidecar's default is 1 s.
            max_retry_after: 0,
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
fn missing_keys_get_the_defaults_of_the_simulator() {
    assert_settings(ONE_CLASS, &settings_with_one_class());
}

/// A part of [`ONE_CLASS`], its invalid replacement, and the expected error message.
const INVALID_KEYS: [(&str, &str, &str); 2] = [
    (
        "\"side_effect\"",
        "\"tidy\"",
        "request-classes[0].semantics: unknown value \"tidy\"",
    ),
    (
        "\"objective-ms\"",
        "\"objective\"",
        "request-classes[0].objective-ms: is missing",
    ),
];

#[test]
fn the_error_has_the_path_of_an_invalid_key() {
    for (valid, invalid, expected) in INVALID_KEYS {
        let text = ONE_CLASS.replace(valid, invalid);
        let conf = serde_json::from_str(&text).expect("JSON");

        let error = super::parse(&conf).expect_err("an invalid key");

        assert_eq!(error.to_string(), expected);
    }
}
