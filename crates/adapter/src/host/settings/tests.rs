use arrowstand_balancer::{DeduplicationScope, Idempotency, RequestClass, Settings};

/// Settings with every key that the balancer knows, and one that it does not know.
const EVERY_KEY: &str = r#"{"az": "z1", "zones": ["z0", "z1"], "step-ms": 4.5, "membership-mode": "on_request",
  "my-number": 3, "balancers": 7, "worth-by": "work", "unheard-of": {"x": [1]},
  "request-classes": [
   {"name": "pay", "semantics": "token", "dedup-scope": "zone", "importance": 1.5, "late-value": 0.25,
    "aim-stretch": 0.5, "window-ms": 60000, "objective-ms": 150.0004, "deadline-ms": 600, "streamed": true}],
  "permissions": {"cancel": true, "probes": true, "may-duplicate": true, "peers": true, "retry-after": true,
   "max-retry-after-ms": 2500, "max-attempts": 5, "idle-close-ms": 750, "connect-timeout-ms": "ignored"},
  "fees": {"probe": 0.30000000000000004, "handshake": 0.02, "connection": 0.03, "cross-zone": 0.04},
  "report": {"fields": ["waiting", "active"], "source": "answers"},
  "safety": {"ask-every-ms": 20000, "only-draining-binds": true, "cold-from": 0.13, "cold-ms": 24000,
   "overload-factor": 3.5, "fall-ms": 900, "drain-grace-ms": "ignored"}}"#;

const ONE_CLASS: &str = r#"{"request-classes": [
   {"name": "look", "semantics": "side_effect", "objective-ms": 150, "deadline-ms": 600}]}"#;

fn read_settings(text: &str) -> Settings {
    let conf = serde_json::from_str(text).expect("JSON");
    super::read(&conf).expect("settings").balancer
}

fn assert_settings(text: &str, expected: &Settings) {
    let settings = read_settings(text);
    assert_eq!(format!("{settings:#?}"), format!("{expected:#?}"));
}

#[test]
fn every_key_reaches_its_setting() {
    let class = RequestClass {
        priority_weight: 1.5,
        latency_objective: 150_000,
        deadline: 600_000,
        late_value: 0.25,
        objective_per_work: 0.5,
        idempotency: Idempotency::IdempotencyKey,
        deduplication_scope: DeduplicationScope::Zone,
        deduplication_window: 60_000_000,
        streamed: true,
    };
    let expected = Settings {
        classes: vec![class],
        zone: 1,
        balancer_index: 3,
        balancer_count: 7,
        step: 4_500,
        gossip: true,
        max_retry_after: 2_500_000,
        max_attempts: 5,
        health_check_fee: 0.300_000_000_000_000_04,
        handshake_fee: 0.02,
        idle_timeout: 750_000,
        connection_fee: 0.03,
        cross_zone_fee: 0.04,
        load_reports: true,
        load_reports_in_responses: true,
        weight_by_work: true,
        poll_endpoints: true,
        max_poll_interval: 20_000_000,
        only_draining_binds: true,
        cold_capacity_share: 0.13,
        slow_start_time: 24_000_000,
        cold_overload_factor: 3.5,
        cold_overload_window: 900_000,
        ..Settings::default()
    };
    assert!(expected.cancellation && expected.health_checks && expected.hedging);
    assert!(expected.retry_after);
    assert_settings(EVERY_KEY, &expected);
}

#[test]
fn missing_keys_get_the_defaults_of_the_simulator() {
    let class = RequestClass::new(Idempotency::NonIdempotent, 150_000, 600_000);
    let expected = Settings {
        classes: vec![class],
        zone: u32::MAX,
        cancellation: false,
        health_checks: false,
        hedging: false,
        retry_after: false,
        // The sidecar's default is 1 s.
        max_retry_after: 0,
        health_check_fee: 0.0,
        ..Settings::default()
    };
    assert_settings(ONE_CLASS, &expected);
}

#[test]
fn a_bad_key_is_named_by_its_path() {
    for (good, bad, expected) in [
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
    ] {
        let conf = serde_json::from_str(&ONE_CLASS.replace(good, bad)).expect("JSON");
        let error = super::read(&conf).expect_err("a bad key");
        assert_eq!(error.to_string(), expected);
    }
}
