//! The keys of scenario files and their defaults match the stored ones in `data/defaults/`.

use std::path::Path;

use arrowstand_testbed::scenario::{
    Class, Clients, Contention, Discovery, Expectations, Fault, Load, LoadReports, MachineType,
    Network, Permissions, Prices, Rules, Scenario, ServerGroup, Sidecars, Tenant,
};
use serde::Serialize;

/// The default of a section as JSON, formatted like the files in `data/defaults/`.
fn default_as_json<S: Default + Serialize>() -> String {
    let json = serde_json::to_string_pretty(&S::default()).expect("the section can be serialised");
    format!("{json}\n")
}

#[test]
fn each_section_has_the_stored_keys_in_order_with_their_defaults() {
    let sections = [
        ("scenario", default_as_json::<Scenario>()),
        ("network", default_as_json::<Network>()),
        ("machine_type", default_as_json::<MachineType>()),
        ("contention", default_as_json::<Contention>()),
        ("servers", default_as_json::<ServerGroup>()),
        ("sidecars", default_as_json::<Sidecars>()),
        ("class", default_as_json::<Class>()),
        ("tenant", default_as_json::<Tenant>()),
        ("load", default_as_json::<Load>()),
        ("clients", default_as_json::<Clients>()),
        ("discovery", default_as_json::<Discovery>()),
        ("load_reports", default_as_json::<LoadReports>()),
        ("permissions", default_as_json::<Permissions>()),
        ("rules", default_as_json::<Rules>()),
        ("prices", default_as_json::<Prices>()),
        ("fault", default_as_json::<Fault>()),
        ("expect", default_as_json::<Expectations>()),
    ];
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenario/data/defaults");
    for (section, default) in sections {
        let stored = std::fs::read_to_string(folder.join(format!("{section}.json")));
        assert_eq!(default, stored.expect(section), "{section}");
    }
}
