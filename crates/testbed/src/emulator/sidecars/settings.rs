//! Builds the sidecars' configuration from a scenario.
//!
//! Defines the top-level keys of the configuration and those of the table of machine types. The
//! keys of the settings and of the endpoint list are defined by `arrowstand_platform`. The
//! balancer's settings are built as for the simulator, by `simulator::sidecars::settings`.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use arrowstand_platform::{
    LoadReportLayout, MembershipMode, PlatformSettings, SettingsDocument, SimulatorFeatures,
    TransportSettings, duration_from_ms,
};
use serde_json::{Value, json};

use crate::index::SidecarIndex;
use crate::scenario::{LoadReportSource, Scenario, from_s};
use crate::simulator::sidecars::settings::balancer_settings;

/// CPU cores of a sidecar's container, for which a scenario has no key.
const CORES: f64 = 1.0;
/// Of the features that only a simulator may have, the emulator's sidecars use one: they poll
/// discovery.
const POLLED_DISCOVERY: SimulatorFeatures = SimulatorFeatures {
    gossip: false,
    retry_after: false,
    poll_endpoints: true,
    streamed: Vec::new(),
};

/// The values of one sidecar's configuration other than its settings.
pub(crate) struct SidecarIdentity<'a> {
    pub(crate) index: SidecarIndex,
    pub(crate) address: SocketAddr,
    pub(crate) discovery: SocketAddr,
    pub(crate) seed: u64,
    /// The endpoint list with which the sidecar starts.
    pub(crate) cached_endpoints: &'a Value,
}

/// A sidecar's whole configuration.
pub(crate) fn configuration(scenario: &Scenario, identity: &SidecarIdentity<'_>) -> Value {
    let sidecars = &scenario.sidecars;
    json!({
        "name": identity.index.to_string(),
        "listen": identity.address.to_string(),
        "discovery": identity.discovery.to_string(),
        "seed": format!("{:016x}", identity.seed),
        "limits": {
            "cores": CORES,
            "memory_mb": sidecars.memory_mb,
            "sockets": sidecars.sockets,
        },
        "known": identity.cached_endpoints,
        "settings": settings(scenario, identity.index),
    })
}

/// The table of machine types that operators provide; empty if the scenario's sidecars do not know
/// machine types.
pub(super) fn machine_types(scenario: &Scenario) -> Value {
    let known = scenario.sidecars.knows_machine_types;
    let machines: Vec<Value> = scenario
        .machine_type
        .iter()
        .filter(|_| known)
        .map(|machine| {
            json!({
                "model": machine.name,
                "cores": machine.cores,
                "speed": machine.speed,
            })
        })
        .collect();
    json!({ "machines": machines })
}

/// A sidecar's settings; those of its balancer are the same as in the simulator.
fn settings(scenario: &Scenario, sidecar: SidecarIndex) -> Value {
    let platform = PlatformSettings {
        balancer: balancer_settings(scenario, sidecar),
        class_names: scenario.class.iter().map(|c| c.name.clone()).collect(),
        zones: scenario.network.zones.clone(),
        load_report: load_report_layout(scenario.load_reports.source),
    };
    let transport = TransportSettings {
        connect_timeout: duration_from_ms(scenario.permissions.connect_timeout_ms),
        idle_timeout: Duration::from_micros(from_s(scenario.permissions.idle_timeout_s)),
        drain_grace: duration_from_ms(scenario.rules.drain_grace_ms),
        membership: MembershipMode::OnRequest,
    };
    let document = SettingsDocument {
        platform: &platform,
        transport: &transport,
        features: &POLLED_DISCOVERY,
    };
    document.to_json()
}

/// Positions of the fields in the load reports of the emulated servers. In reports on health checks
/// an error rate stands between the two fields that a balancer reads.
fn load_report_layout(source: LoadReportSource) -> LoadReportLayout {
    let queued = match source {
        LoadReportSource::HealthChecks => Some(2),
        LoadReportSource::Responses => None,
    };
    LoadReportLayout {
        in_flight: Some(0),
        queued,
    }
}
