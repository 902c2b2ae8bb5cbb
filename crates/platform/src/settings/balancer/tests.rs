use arrowstand_balancer::{RequestClassError, SettingsError};

use super::super::PlatformSettings;
use super::rejected_setting_node;
use crate::json::{Node, parse};

/// Settings that the balancer accepts.
const VALID: &str = r#"{"request-classes": [
   {"name": "look", "semantics": "pure", "objective-ms": 150, "deadline-ms": 600},
   {"name": "pay", "semantics": "pure", "objective-ms": 100, "deadline-ms": 500,
    "late-value": 0.5}],
  "permissions": {"max-attempts": 5},
  "safety": {"ask-every-ms": 20000, "cold-from": 0.13, "overload-factor": 3.5}}"#;

/// Replacements in [`VALID`] that the balancer rejects, and the path of the key in the error.
const REJECTED: [(&str, &str, &str); 7] = [
    (
        r#""objective-ms": 100"#,
        r#""objective-ms": 0"#,
        "request-classes[1].objective-ms",
    ),
    (
        r#""deadline-ms": 500"#,
        r#""deadline-ms": 50"#,
        "request-classes[1].deadline-ms",
    ),
    (
        r#""late-value": 0.5"#,
        r#""late-value": 2"#,
        "request-classes[1].late-value",
    ),
    (
        r#""max-attempts": 5"#,
        r#""max-attempts": 0"#,
        "permissions.max-attempts",
    ),
    (
        r#""cold-from": 0.13"#,
        r#""cold-from": 2"#,
        "safety.cold-from",
    ),
    (
        r#""overload-factor": 3.5"#,
        r#""overload-factor": 0"#,
        "safety.overload-factor",
    ),
    (
        r#""ask-every-ms": 20000"#,
        r#""ask-every-ms": 0"#,
        "safety.ask-every-ms",
    ),
];

#[test]
fn rejected_setting_is_reported_with_its_key() {
    for (valid, rejected, path) in REJECTED {
        assert!(VALID.contains(valid), "{valid}");
        let value = parse(&VALID.replace(valid, rejected), 8).expect("JSON");
        let settings_node = Node::root(&value);
        let platform = PlatformSettings::read(&settings_node, 0).expect("settings");

        let error = platform.validate(&settings_node).expect_err(rejected);

        assert_eq!(error.path, path);
        let cause = platform.balancer.validate().expect_err(rejected);
        assert_eq!(error.to_string(), format!("{path}: {cause}"));
    }
}

#[test]
fn accepted_settings_are_valid() {
    let value = parse(VALID, 8).expect("JSON");
    let settings_node = Node::root(&value);
    let platform = PlatformSettings::read(&settings_node, 0).expect("settings");

    assert_eq!(platform.validate(&settings_node), Ok(()));
}

/// The reader already rejects negative and infinite numbers, so these errors are constructed here.
#[test]
fn other_errors_have_their_keys() {
    let value = parse(VALID, 8).expect("JSON");
    let settings_node = Node::root(&value);
    let class_error = |error| SettingsError::RequestClass { index: 0, error };
    for (error, path) in [
        (SettingsError::NoClasses, "request-classes"),
        (SettingsError::FeeNotFinite, "fees"),
        (
            class_error(RequestClassError::PriorityWeight),
            "request-classes[0].importance",
        ),
        (
            class_error(RequestClassError::ObjectivePerWork),
            "request-classes[0].aim-stretch",
        ),
    ] {
        assert_eq!(rejected_setting_node(&settings_node, error).path(), path);
    }
}
