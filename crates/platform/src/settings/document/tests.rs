//! Reading a written settings object returns the same values, and writing what was read returns the
//! same text.

mod strategies;

use arrowstand_balancer::Micros;
use proptest::prelude::*;

use super::SettingsDocument;
use crate::json::{Node, parse};
use crate::{PlatformSettings, SimulatorFeatures, TransportSettings};
use strategies::any_settings_groups;

/// The nesting depth of the settings: the object, the array of classes and a class.
const MAX_DEPTH: usize = 3;
/// The longest Retry-After if it is absent, which written settings never leave out.
const DEFAULT_MAX_RETRY_AFTER: Micros = 77_000;

/// The three groups of a settings object.
#[derive(Debug)]
struct SettingsGroups {
    platform: PlatformSettings,
    transport: TransportSettings,
    features: SimulatorFeatures,
}

impl SettingsGroups {
    fn read(text: &str) -> Self {
        let value = parse(text, MAX_DEPTH).expect("JSON");
        let settings_node = Node::root(&value);
        let platform = PlatformSettings::read(&settings_node, DEFAULT_MAX_RETRY_AFTER);
        Self {
            platform: platform.expect("settings"),
            transport: TransportSettings::read(&settings_node).expect("transport"),
            features: SimulatorFeatures::read(&settings_node).expect("features"),
        }
    }

    fn to_text(&self) -> String {
        let document = SettingsDocument {
            platform: &self.platform,
            transport: &self.transport,
            features: &self.features,
        };
        document.to_json().to_string()
    }
}

/// The keys that every deployment's settings have, in the order of the writer.
const COMMON_KEYS: &str = concat!(
    r#"{"az":"kumamoto","balancers":5,"#,
    r#""fees":{"cross-zone":0.015,"handshake":0.0,"probe":0.0021},"#,
    r#""membership-mode":"on_request","my-number":1,"#,
    r#""permissions":{"cancel":true,"connect-timeout-ms":200.0,"idle-close-ms":5000.0,"#,
    r#""max-attempts":5,"max-retry-after-ms":2000.0,"may-duplicate":true,"peers":false,"#,
    r#""probes":true,"retry-after":false},"#,
    r#""report":{"fields":["active","err_rps","waiting"],"source":"probe"},"#,
    r#""request-classes":[{"deadline-ms":1500.0,"dedup-scope":"all","importance":1.0,"#,
    r#""late-value":0.0,"name":"job-status","objective-ms":400.5,"semantics":"pure","#,
    r#""streamed":false,"window-ms":10000.0}],"#,
    r#""safety":{"ask-every-ms":10000.0,"cold-from":0.22,"cold-ms":20000.0,"#,
    r#""drain-grace-ms":2000.0,"fall-ms":1500.0,"overload-factor":2.5},"#,
    r#""step-ms":5.0,"worth-by":"request","zones":["fukuoka","kumamoto"]}"#,
);

#[test]
fn settings_with_the_common_keys_are_written_as_they_were_read() {
    let groups = SettingsGroups::read(COMMON_KEYS);

    assert_eq!(groups.to_text(), COMMON_KEYS);
}

#[test]
fn optional_keys_are_written_where_they_differ_from_their_defaults() {
    let mut groups = SettingsGroups::read(COMMON_KEYS);
    groups.platform.balancer.fees.connection = 0.03;
    groups.platform.balancer.allow_removed_servers = true;
    groups.platform.balancer.classes[0].objective_per_work = 1.5;

    let text = groups.to_text();

    for key in [
        r#""connection":0.03"#,
        r#""only-draining-binds":true"#,
        r#""aim-stretch":1.5"#,
    ] {
        assert!(text.contains(key), "{key} in {text}");
    }
}

proptest! {
    /// Compares the `Debug` output, as the balancer's settings do not implement `PartialEq`. The
    /// output has all digits of floating-point numbers.
    #[test]
    fn reading_written_settings_gives_the_same_settings(groups in any_settings_groups()) {
        let read = SettingsGroups::read(&groups.to_text());

        prop_assert_eq!(format!("{read:#?}"), format!("{groups:#?}"));
    }
}
