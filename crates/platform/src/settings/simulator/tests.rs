use super::super::PlatformSettings;
use super::SimulatorFeatures;
use crate::json::{Node, parse};

#[test]
fn keys_of_the_simulator_are_ignored_by_the_common_reader() {
    let text = r#"{"membership-mode": 1, "permissions": {"peers": "no", "retry-after": 1},
        "request-classes": [{"name": "a", "semantics": "pure", "objective-ms": 1, "deadline-ms": 1, "streamed": 0}]}"#;
    let value = parse(text, 8).expect("JSON");
    let conf = Node::root(&value);

    let platform = PlatformSettings::read(&conf, 0);
    let features = SimulatorFeatures::read(&conf);

    assert!(platform.is_ok());
    assert_eq!(
        features.expect_err("a text").to_string(),
        "permissions.peers: must be true or false"
    );
}
