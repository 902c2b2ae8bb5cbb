//! Compares configurations with recorded files, byte for byte.

use serde_json::json;

use super::{SidecarIdentity, configuration, machine_types, settings};
use crate::index::SidecarIndex;
use crate::scenario::{Scenario, ScenarioFile};

fn scenario(name: &str) -> Scenario {
    let path = format!("{}/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let file = ScenarioFile::open(path.as_ref()).unwrap_or_else(|errors| panic!("{errors}"));
    file.scenario
}

#[test]
fn settings_and_machine_types_of_shipped_scenarios_equal_the_recorded_files() {
    let recorded = include_str!("../../../../tests/data/records/settings-calm.json");
    assert_eq!(
        settings(&scenario("calm"), SidecarIndex::new(1)).to_string(),
        recorded.trim()
    );
    let recorded = include_str!("../../../../tests/data/records/settings-consulta-burst.json");
    let written = settings(&scenario("consulta-burst"), SidecarIndex::new(1)).to_string();
    assert_eq!(written, recorded.trim());
    let recorded = include_str!("../../../../tests/data/records/machines-mass-zone.json");
    let written = machine_types(&scenario("mass-zone")).to_string();
    assert_eq!(written, recorded.trim());
}

#[test]
fn machine_types_are_empty_if_the_sidecars_do_not_know_them() {
    let written = machine_types(&scenario("calm")).to_string();
    assert_eq!(written, r#"{"machines":[]}"#);
}

#[test]
fn a_configuration_has_the_identity_and_the_settings_of_its_sidecar() {
    let scenario = scenario("calm");
    let cached_endpoints = json!({"rev": 1});
    let identity = SidecarIdentity {
        index: SidecarIndex::new(3),
        address: ([127, 0, 0, 1], 12_001).into(),
        discovery: ([127, 0, 0, 1], 12_002).into(),
        seed: 0xab,
        cached_endpoints: &cached_endpoints,
    };
    let written = configuration(&scenario, &identity);
    let expected = json!({
        "name": "n3",
        "listen": "127.0.0.1:12001",
        "discovery": "127.0.0.1:12002",
        "seed": "00000000000000ab",
        "limits": {
            "cores": 1.0,
            "memory_mb": scenario.sidecars.memory_mb,
            "sockets": scenario.sidecars.sockets,
        },
        "known": {"rev": 1},
        "settings": settings(&scenario, SidecarIndex::new(3)),
    });
    assert_eq!(written, expected);
}
