use std::future::{Future as _, poll_fn};
use std::pin::pin;

use super::{Config, ConfigError};

/// A configuration with every key that the sidecar reads.
const CONFIGURATION: &str = r#"{"name": "n0", "seed": "8c",
 "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
 "settings": {
  "request-classes": [
   {"semantics": "token", "dedup-scope": "zone", "importance": 1.5,
    "late-value": 0.25, "aim-stretch": 0.5, "window-ms": 60000, "objective-ms": 150,
    "deadline-ms": 600, "streamed": "ignored", "name": "pay"}],
  "zones": ["z0", "z1"], "az": "z1",
  "report": {"fields": ["active", "waiting"], "source": "answers"},
  "my-number": 3, "balancers": 7, "step-ms": 4.5,
  "permissions": {"cancel": true, "probes": true, "may-duplicate": true, "peers": "ignored",
   "retry-after": "ignored", "max-retry-after-ms": 2500, "max-attempts": 5, "idle-close-ms": 750,
   "connect-timeout-ms": 300.5},
  "fees": {"probe": 0.01, "handshake": 0.02, "connection": 0.03, "cross-zone": 0.04},
  "worth-by": "work",
  "safety": {"ask-every-ms": 20000, "only-draining-binds": true, "cold-from": 0.13,
   "cold-ms": 24000, "overload-factor": 3.5, "fall-ms": 900, "drain-grace-ms": 1500},
  "membership-mode": "pushed"},
 "limits": {"sockets": 256, "memory_mb": 64},
 "known": {"rev": 7, "targets": []}}"#;

/// Replacements that each make one key invalid, in the order in which the keys are checked.
const FAULTS: [(&str, &str); 45] = [
    (r#""name": "n0""#, r#""name": 1"#),
    (r#""seed": "8c""#, r#""seed": "x""#),
    (r#""token""#, r#""tidy""#),
    (r#""dedup-scope": "zone""#, r#""dedup-scope": "town""#),
    (r#""importance": 1.5"#, r#""importance": "x""#),
    (r#""late-value": 0.25"#, r#""late-value": -1"#),
    (r#""aim-stretch": 0.5"#, r#""aim-stretch": []"#),
    (r#""window-ms": 60000"#, r#""window-ms": "x""#),
    (r#""objective-ms": 150"#, r#""objective-ms": null"#),
    (r#""deadline-ms": 600"#, r#""deadline-ms": "x""#),
    (r#""name": "pay""#, r#""nom": "pay""#),
    (r#""zones": ["z0", "z1"]"#, r#""zones": ["z0", 1]"#),
    (r#""az": "z1""#, r#""az": 1"#),
    (r#"["active", "waiting"]"#, r#"["active", 2]"#),
    (r#""source": "answers""#, r#""source": 1"#),
    (r#""my-number": 3"#, r#""my-number": "x""#),
    (r#""balancers": 7"#, r#""balancers": "x""#),
    (r#""step-ms": 4.5"#, r#""step-ms": "x""#),
    (r#""cancel": true"#, r#""cancel": 1"#),
    (r#""probes": true"#, r#""probes": 1"#),
    (r#""may-duplicate": true"#, r#""may-duplicate": 1"#),
    (
        r#""max-retry-after-ms": 2500"#,
        r#""max-retry-after-ms": "x""#,
    ),
    (r#""max-attempts": 5"#, r#""max-attempts": "x""#),
    (r#""probe": 0.01"#, r#""probe": "x""#),
    (r#""handshake": 0.02"#, r#""handshake": "x""#),
    (r#""idle-close-ms": 750"#, r#""idle-close-ms": "x""#),
    (r#""connection": 0.03"#, r#""connection": "x""#),
    (r#""cross-zone": 0.04"#, r#""cross-zone": "x""#),
    (r#""worth-by": "work""#, r#""worth-by": 1"#),
    (r#""ask-every-ms": 20000"#, r#""ask-every-ms": "x""#),
    (
        r#""only-draining-binds": true"#,
        r#""only-draining-binds": 1"#,
    ),
    (r#""cold-from": 0.13"#, r#""cold-from": "x""#),
    (r#""cold-ms": 24000"#, r#""cold-ms": "x""#),
    (r#""overload-factor": 3.5"#, r#""overload-factor": "x""#),
    (r#""fall-ms": 900"#, r#""fall-ms": "x""#),
    // Out of range, which is checked after all settings have been read.
    (r#""overload-factor": 3.5"#, r#""overload-factor": 0"#),
    (r#""sockets": 256"#, r#""sockets": -1"#),
    (r#""memory_mb": 64"#, r#""memory_mb": "x""#),
    (
        r#""connect-timeout-ms": 300.5"#,
        r#""connect-timeout-ms": "x""#,
    ),
    (r#""drain-grace-ms": 1500"#, r#""drain-grace-ms": "x""#),
    (r#""membership-mode": "pushed""#, r#""membership-mode": 1"#),
    (r#""sockets": 256"#, r#""sockets": 63"#),
    (
        r#""connect-timeout-ms": 300.5"#,
        r#""connect-timeout-ms": 0"#,
    ),
    (r#""idle-close-ms": 750"#, r#""idle-close-ms": 0"#),
    (r#""rev": 7"#, r#""rev": "x""#),
];

fn parse_with(
    text: &str,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigError> {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    let runtime = runtime.expect("runtime is created");
    runtime.block_on(Config::parse(text, variable))
}

fn parse(text: &str) -> Result<Config, String> {
    parse_with(text, |_| None).map_err(|error| error.to_string())
}

/// Returns the configuration with these faults. Two faults may replace the same key: the first one
/// takes effect.
fn with_faults(faults: &[(&str, &str)]) -> String {
    let mut text = CONFIGURATION.to_owned();
    for (valid, invalid) in faults {
        text = text.replacen(valid, invalid, 1);
    }
    text
}

fn error_message(text: &str) -> String {
    match parse(text) {
        Ok(_) => "accepted".to_owned(),
        Err(message) => message,
    }
}

#[test]
fn error_names_each_invalid_key() {
    let mut messages = String::new();
    for fault in FAULTS {
        assert!(CONFIGURATION.contains(fault.0), "{}", fault.0);
        messages += &error_message(&with_faults(&[fault]));
        messages.push('\n');
    }
    for address in ["127.0.0.1:1", "127.0.0.1:2"] {
        messages += &error_message(&CONFIGURATION.replace(address, "here"));
        messages.push('\n');
    }
    messages += &error_message(&CONFIGURATION.replace("\"settings\"", "\"setting\""));
    messages.push('\n');
    messages += &error_message("[");
    insta::assert_snapshot!(messages);
}

#[test]
fn first_of_several_invalid_keys_is_named_in_the_order_of_the_checks() {
    let mut messages = String::new();
    for first in 0..FAULTS.len() {
        messages += &error_message(&with_faults(&FAULTS[first..]));
        messages.push('\n');
    }
    insta::assert_snapshot!(messages);
}

#[test]
fn every_key_reaches_settings_limits_and_deployment_metadata() {
    let config = parse(CONFIGURATION).expect("valid configuration");
    insta::assert_snapshot!(format!(
        "{:#?}\n{:#?}\n{:#?}",
        config.settings, config.limits, config.deployment
    ));
}

#[test]
fn missing_keys_get_the_defaults_of_the_sidecar() {
    let text = r#"{"name": "n0", "seed": "8c",
        "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {"request-classes": [
        {"semantics": "pure", "objective-ms": 150, "deadline-ms": 600, "name": "look"}]}}"#;
    let config = parse(text).expect("valid configuration");
    insta::assert_snapshot!(format!(
        "{:#?}\n{:#?}\n{:#?}",
        config.settings, config.limits, config.deployment
    ));
}

#[test]
fn environment_variables_take_precedence_over_the_file() {
    let variable = |name: &str| match name {
        "NODE_NAME" => Some("other".to_owned()),
        "NODE_LISTEN" => Some("127.0.0.1:3".to_owned()),
        "NODE_DISCOVERY" => Some("127.0.0.1:4".to_owned()),
        _ => None,
    };
    let Ok(config) = parse_with(CONFIGURATION, variable) else {
        panic!("configuration rejected");
    };
    assert_eq!(config.name, "other");
    assert_eq!(
        (
            config.listen_address.port(),
            config.discovery_address.port()
        ),
        (3, 4)
    );
    let invalid = parse_with(CONFIGURATION, |name| {
        (name == "NODE_LISTEN").then(|| "here".to_owned())
    });
    let message = invalid.map(|_| ()).map_err(|error| error.to_string());
    let expected = "NODE_LISTEN: \"here\" is not an address and port";
    assert_eq!(message, Err(expected.to_owned()));
    let unreadable = parse_with(CONFIGURATION, |name| {
        (name == "ARROWSTAND_MACHINES").then(|| "/nonexistent".to_owned())
    });
    let message = unreadable.map(|_| ()).map_err(|error| error.to_string());
    let expected =
        "ARROWSTAND_MACHINES: cannot read /nonexistent: No such file or directory (os error 2)";
    assert_eq!(message, Err(expected.to_owned()));
}

/// Guards against a reload that holds the thread until a large cached list has been read.
#[tokio::test(flavor = "current_thread")]
async fn other_tasks_run_while_a_large_configuration_is_read() {
    const MAX_BYTES_PER_POLL: usize = 16 * 1024;
    let entry = r#"{"uid": "s", "endpoint": "127.0.0.1:9", "state": "ready"}"#;
    let entries = vec![entry; 3_200].join(", ");
    let text = CONFIGURATION.replace("[]", &format!("[{entries}]"));
    let mut parsing = pin!(Config::parse(&text, |_| None));
    let mut polls = 0;
    let config = poll_fn(|context| {
        polls += 1;
        parsing.as_mut().poll(context)
    });
    let cached = config.await.ok().and_then(|config| config.cached_endpoints);
    assert_eq!(cached.map(|list| list.endpoints.len()), Some(3_200));
    assert!(polls > text.len() / MAX_BYTES_PER_POLL, "{polls} polls");
}
