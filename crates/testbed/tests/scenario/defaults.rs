//! Every key of a scenario and its default, as they are written.

use std::path::Path;

use arrowstand_testbed::scenario::{
    Class, Clients, Contention, Discovery, Expectations, Fault, Load, LoadReports, MachineType,
    Network, Permissions, Prices, Rules, Scenario, ServerGroup, Sidecars, Tenant,
};
use serde::Serialize;

/// The default of a section in the form of `data/defaults/`, with its keys in their order.
fn written<S: Default + Serialize>() -> String {
    let json = serde_json::to_string_pretty(&S::default()).expect("JSON");
    format!("{json}\n")
}

#[test]
fn each_section_has_the_stored_keys_and_defaults() {
    let sections = [
        ("scenario", written::<Scenario>()),
        ("network", written::<Network>()),
        ("machine_type", written::<MachineType>()),
        ("contention", written::<Contention>()),
        ("servers", written::<ServerGroup>()),
        ("sidecars", written::<Sidecars>()),
        ("class", written::<Class>()),
        ("tenant", written::<Tenant>()),
        ("load", written::<Load>()),
        ("clients", written::<Clients>()),
        ("discovery", written::<Discovery>()),
        ("load_reports", written::<LoadReports>()),
        ("permissions", written::<Permissions>()),
        ("rules", written::<Rules>()),
        ("prices", written::<Prices>()),
        ("fault", written::<Fault>()),
        ("expect", written::<Expectations>()),
    ];
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenario/data/defaults");
    for (section, written) in sections {
        let stored = std::fs::read_to_string(folder.join(format!("{section}.json")));
        assert_eq!(written, stored.expect(section), "{section}");
    }
}
