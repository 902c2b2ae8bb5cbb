use std::time::Duration;

use super::super::PlatformSettings;
use super::{MembershipMode, TransportSettings};
use crate::json::{Node, parse};

#[test]
fn missing_transport_times_take_their_defaults() {
    let value = parse("{}", 1).expect("JSON");
    let settings_node = Node::root(&value);

    let transport = TransportSettings::read(&settings_node).expect("transport");
    let platform = PlatformSettings::read(&settings_node, 0).expect("settings");

    let expected = TransportSettings {
        connect_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_secs(5),
        drain_grace: Duration::from_secs(2),
        membership: MembershipMode::Unspecified,
    };
    let idle_timeout = Duration::from_micros(platform.balancer.idle_timeout);
    assert_eq!(transport, expected);
    assert_eq!(
        idle_timeout, transport.idle_timeout,
        "both groups have the same default"
    );
}

#[test]
fn zero_timeout_is_rejected_with_its_key() {
    for (key, other) in [
        ("connect-timeout-ms", "idle-close-ms"),
        ("idle-close-ms", "connect-timeout-ms"),
    ] {
        let text = format!(r#"{{"permissions": {{"{key}": 0, "{other}": 1}}}}"#);
        let value = parse(&text, 8).expect("JSON");
        let settings_node = Node::root(&value);
        let transport = TransportSettings::read(&settings_node).expect("transport");

        let error = transport.check_timeouts(&settings_node).expect_err("zero");

        let expected = format!("permissions.{key}: must be above zero");
        assert_eq!(error.to_string(), expected);
    }
}
