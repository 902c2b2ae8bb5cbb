use super::super::PlatformSettings;
use super::SimulatorFeatures;
use crate::json::{Node, parse};

#[test]
fn simulator_keys_are_ignored_by_the_platform_settings_reader() {
    let text = concat!(
        r#"{"membership-mode": 1, "permissions": {"peers": "no", "retry-after": 1},
        "request-classes": [{"name": "a", "semantics": "pure", "objective-ms": 1, "#,
        r#""deadline-ms": 1, "streamed": 0}]}"#,
    );
    let value = parse(text, 8).expect("JSON");
    let settings_node = Node::root(&value);

    let platform = PlatformSettings::read(&settings_node, 0);
    let features = SimulatorFeatures::read(&settings_node);

    assert!(platform.is_ok());
    assert_eq!(
        features.expect_err("a text").to_string(),
        "permissions.peers: must be true or false"
    );
}
