use arrowstand_balancer::EndpointStatus;

use super::{EndpointList, ListKind, ListedEndpoint};

/// A list whose entries 1, 2 and 3 are invalid.
const LIST_WITH_INVALID_ENTRIES: &str = concat!(
    r#"{"rev": 9, "all": true, "targets": [
    {"uid": "s0", "endpoint": "127.0.0.1:80", "az": "z1", "pod_group": 3, "state": "draining", "#,
    r#""boot_ms": 5.5,
     "model": "std-3"},
    {"uid": "s1", "endpoint": "here", "state": "ready"},
    {"uid": "s2", "endpoint": "127.0.0.1:80", "state": "tidy"},
    {"uid": "s3", "endpoint": "127.0.0.1:80", "state": "ready", "boot_ms": 1e15},
    {"uid": "s4", "endpoint": "127.0.0.1:81", "state": "gone"}]}"#,
);

/// The first and the last entry of [`LIST_WITH_INVALID_ENTRIES`], as they are read.
fn readable_entries() -> [ListedEndpoint; 2] {
    let every_key = ListedEndpoint {
        id: "s0".to_owned(),
        address: "127.0.0.1:80".parse().expect("an address"),
        zone: "z1".to_owned(),
        cell: 3,
        machine_type: "std-3".to_owned(),
        status: EndpointStatus::Draining,
        started_at: Some(5_500),
    };
    let required_keys_only = ListedEndpoint {
        id: "s4".to_owned(),
        address: "127.0.0.1:81".parse().expect("an address"),
        zone: String::new(),
        cell: 0,
        machine_type: String::new(),
        status: EndpointStatus::Removed,
        started_at: None,
    };
    [every_key, required_keys_only]
}

#[test]
fn invalid_entry_is_skipped_with_a_message_and_the_others_are_read() {
    let list = EndpointList::parse(LIST_WITH_INVALID_ENTRIES, 8).expect("a list");

    let errors = list.skipped.first_errors();
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let expected_messages = [
        "targets[1].endpoint: is not an address and port",
        "targets[2].state: unknown value \"tidy\"",
        "targets[3].boot_ms: is too large for a timestamp",
    ];
    assert_eq!(list.revision, 9);
    assert_eq!(list.kind, ListKind::Full);
    assert_eq!(list.endpoints, readable_entries());
    assert_eq!(messages, expected_messages);
    assert_eq!(list.skipped.count(), 3);
}

/// Guards against a list of invalid entries whose errors are kept and logged one by one: they need
/// many times the memory and the time of the list.
#[test]
fn all_invalid_entries_are_counted_and_the_errors_of_the_first_are_kept() {
    let entries = vec!["0"; 100_000].join(",");
    let text = format!(r#"{{"rev": 9, "targets": [{entries}]}}"#);

    let list = EndpointList::parse(&text, 8).expect("a list");

    assert_eq!(list.skipped.count(), 100_000);
    assert_eq!(list.skipped.first_errors().len(), 16);
}

#[test]
fn list_without_a_revision_is_rejected() {
    let error = EndpointList::parse("{}", 8).expect_err("no revision");
    assert_eq!(error.to_string(), "rev: is missing");
}
