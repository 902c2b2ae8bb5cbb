use arrowstand_balancer::EndpointStatus;

use super::{EndpointList, ListKind, ListedEndpoint};

#[test]
fn a_bad_entry_is_skipped_with_a_message_and_the_others_are_read() {
    let text = r#"{"rev": 9, "all": true, "targets": [
        {"uid": "s0", "endpoint": "127.0.0.1:80", "az": "z1", "pod_group": 3, "state": "draining", "boot_ms": 5.5,
         "model": "std-3"},
        {"uid": "s1", "endpoint": "here", "state": "ready"},
        {"uid": "s2", "endpoint": "127.0.0.1:80", "state": "tidy"},
        {"uid": "s3", "endpoint": "127.0.0.1:80", "state": "ready", "boot_ms": 1e15},
        {"uid": "s4", "endpoint": "127.0.0.1:81", "state": "gone"}]}"#;
    let list = EndpointList::parse(text, 8).expect("a list");
    assert_eq!((list.revision, list.kind), (9, ListKind::Full));
    let first = ListedEndpoint {
        id: "s0".to_owned(),
        address: "127.0.0.1:80".parse().expect("an address"),
        zone: "z1".to_owned(),
        cell: 3,
        machine_type: "std-3".to_owned(),
        status: EndpointStatus::Draining,
        started_at: Some(5_500),
    };
    let last = ListedEndpoint {
        id: "s4".to_owned(),
        address: "127.0.0.1:81".parse().expect("an address"),
        zone: String::new(),
        cell: 0,
        machine_type: String::new(),
        status: EndpointStatus::Removed,
        started_at: None,
    };
    assert_eq!(list.endpoints, [first, last]);
    let messages: Vec<String> = list.skipped.iter().map(ToString::to_string).collect();
    assert_eq!(
        messages,
        [
            "targets[1].endpoint: is not an address and port",
            "targets[2].state: unknown value \"tidy\"",
            "targets[3].boot_ms: is no time",
        ]
    );
}

#[test]
fn a_list_without_a_revision_is_an_error() {
    let error = EndpointList::parse("{}", 8).expect_err("no revision");
    assert_eq!(error.to_string(), "rev: is missing");
}
