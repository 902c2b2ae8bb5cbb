//! Reading a settings object that was written gives the same values, and the other way about.

mod strategies;

use arrowstand_balancer::Micros;
use proptest::prelude::*;

use super::SettingsDocument;
use crate::json::{Node, parse};
use crate::{PlatformSettings, SimulatorFeatures, TransportSettings};
use strategies::any_parts;

/// The nesting of the settings: the object, the array of classes and a class.
const DEPTH: usize = 3;
/// What the reader takes an absent longest Retry-After for. It is always written.
const DEFAULT_MAX_RETRY_AFTER: Micros = 77_000;

/// The three parts of one settings object.
#[derive(Debug)]
struct Parts {
    platform: PlatformSettings,
    transport: TransportSettings,
    features: SimulatorFeatures,
}

impl Parts {
    fn read(text: &str) -> Self {
        let value = parse(text, DEPTH).expect("JSON");
        let conf = Node::root(&value);
        let platform = PlatformSettings::read(&conf, DEFAULT_MAX_RETRY_AFTER);
        Self {
            platform: platform.expect("settings"),
            transport: TransportSettings::read(&conf).expect("transport"),
            features: SimulatorFeatures::read(&conf).expect("features"),
        }
    }

    fn written(&self) -> String {
        let document = SettingsDocument {
            platform: &self.platform,
            transport: &self.transport,
            features: &self.features,
        };
        document.to_json().to_string()
    }
}

/// Every key that a deployment's settings have, in the order of the writer.
const USUAL_KEYS: &str = concat!(
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
fn settings_in_the_usual_form_are_written_as_they_were_read() {
    let parts = Parts::read(USUAL_KEYS);

    assert_eq!(parts.written(), USUAL_KEYS);
}

#[test]
fn keys_that_not_every_deployment_has_are_written_where_they_say_something() {
    let mut parts = Parts::read(USUAL_KEYS);
    parts.platform.balancer.fees.connection = 0.03;
    parts.platform.balancer.allow_removed_servers = true;
    parts.platform.balancer.classes[0].objective_per_work = 1.5;

    let text = parts.written();

    for key in [
        r#""connection":0.03"#,
        r#""only-draining-binds":true"#,
        r#""aim-stretch":1.5"#,
    ] {
        assert!(text.contains(key), "{key} in {text}");
    }
}

proptest! {
    /// Compared as they print, since the balancer's settings do not compare: floating-point numbers
    /// print with all their digits.
    #[test]
    fn reading_written_settings_gives_the_same_settings(parts in any_parts()) {
        let read = Parts::read(&parts.written());

        prop_assert_eq!(format!("{read:#?}"), format!("{parts:#?}"));
    }
}
