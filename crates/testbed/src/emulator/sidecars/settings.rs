//! The sidecars' configuration: what a scenario says, in the platform's form.
//!
//! Owns the keys of the configuration's frame and of the table of machine types. The keys of
//! settings and endpoint list are the platform's, the balancer's settings those of the simulator.

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

/// Cores of a sidecar's container; a scenario has no key for them.
const CORES: f64 = 1.0;
/// Of what only the simulator's channels offer, the emulator has none; its discovery is polled.
const POLLED_DISCOVERY: SimulatorFeatures = SimulatorFeatures {
    gossip: false,
    retry_after: false,
    poll_endpoints: true,
    streamed: Vec::new(),
};

/// What one sidecar's configuration says beside its settings.
pub(super) struct Identity<'a> {
    pub(super) index: SidecarIndex,
    pub(super) address: SocketAddr,
    pub(super) discovery: SocketAddr,
    pub(super) seed: u64,
    /// The endpoint list that the sidecar starts with.
    pub(super) cached_endpoints: &'a Value,
}

/// A sidecar's configuration.
pub(super) fn configuration(scenario: &Scenario, identity: &Identity<'_>) -> Value {
    let container = &scenario.sidecars;
    json!({
        "name": identity.index.to_string(),
        "listen": identity.address.to_string(),
        "discovery": identity.discovery.to_string(),
        "seed": format!("{:016x}", identity.seed),
        "limits": {
            "cores": CORES,
            "memory_mb": container.memory_mb,
            "sockets": container.sockets,
        },
        "known": identity.cached_endpoints,
        "settings": settings(scenario, identity.index),
    })
}

/// The operators' table of machine types, empty where sidecars do not know them.
pub(super) fn machine_types(scenario: &Scenario) -> Value {
    let known = scenario.sidecars.knows_machine_types;
    let machines: Vec<Value> = scenario
        .machine_type
        .iter()
        .filter(|_| known)
        .map(|machine| json!({"model": machine.name, "cores": machine.cores, "speed": machine.speed}))
        .collect();
    json!({ "machines": machines })
}

/// A sidecar's settings, which tell its balancer what the simulator's are told.
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

/// Which of the fields stand where in the load reports of the emulated servers. Those to health
/// checks have the rate of errors between the two that a balancer reads.
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
