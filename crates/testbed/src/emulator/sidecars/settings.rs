//! The sidecars' configuration in the platform's form. Keys and values are the platform's.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::index::SidecarIndex;
use crate::scenario::{Class, DeduplicationScope, Idempotency, LoadReportSource, Scenario};

/// Cores of a sidecar's container.
const CORES: f64 = 1.0;

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

/// A sidecar's settings; those of the simulator's sidecars say the same to the decision module.
fn settings(scenario: &Scenario, sidecar: SidecarIndex) -> Value {
    let classes: Vec<Value> = scenario.class.iter().map(class).collect();
    let weight = if scenario.load.weight_by_work {
        "work"
    } else {
        "request"
    };
    json!({
        "az": scenario.network.zones.get(scenario.sidecar_zone(sidecar) as usize),
        "zones": scenario.network.zones,
        "balancers": scenario.sidecars.count,
        "my-number": sidecar,
        "membership-mode": "on_request",
        "worth-by": weight,
        "step-ms": 5.0,
        "request-classes": classes,
        "permissions": permissions(scenario),
        "fees": {
            "probe": scenario.prices.health_check,
            "handshake": scenario.prices.handshake,
            "cross-zone": scenario.prices.cross_zone,
        },
        "report": load_report(scenario),
        "safety": safety(scenario),
    })
}

fn class(class: &Class) -> Value {
    let semantics = match class.idempotency {
        Idempotency::Idempotent => "pure",
        Idempotency::NonIdempotent => "side_effect",
        Idempotency::IdempotencyKey => "token",
    };
    let scope = match class.deduplication_scope {
        DeduplicationScope::Zone => "zone",
        DeduplicationScope::All => "all",
    };
    json!({
        "name": class.name,
        "semantics": semantics,
        "importance": class.priority_weight,
        "late-value": class.late_value,
        "objective-ms": class.latency_objective_ms,
        "deadline-ms": class.deadline_ms,
        "window-ms": class.deduplication_window_ms,
        "dedup-scope": scope,
        "streamed": false,
    })
}

fn permissions(scenario: &Scenario) -> Value {
    let permissions = &scenario.permissions;
    json!({
        "cancel": permissions.cancellation,
        "probes": permissions.health_checks,
        "may-duplicate": permissions.hedging,
        "retry-after": false,
        "max-retry-after-ms": permissions.max_retry_after_ms,
        "peers": false,
        "max-attempts": permissions.max_attempts,
        "connect-timeout-ms": permissions.connect_timeout_ms,
        "idle-close-ms": permissions.idle_timeout_s * 1_000.0,
    })
}

fn load_report(scenario: &Scenario) -> Value {
    match scenario.load_reports.source {
        LoadReportSource::HealthChecks => {
            json!({"source": "probe", "fields": ["active", "err_rps", "waiting"]})
        }
        LoadReportSource::Responses => json!({"source": "answers", "fields": ["active"]}),
    }
}

fn safety(scenario: &Scenario) -> Value {
    let rules = &scenario.rules;
    let machines = || scenario.machine_type.iter();
    let least_cold_share = machines()
        .map(|machine| machine.cold_capacity_share)
        .fold(1.0, f64::min);
    let longest_slow_start_s = machines()
        .map(|machine| machine.slow_start_s)
        .fold(0.0, f64::max);
    json!({
        "ask-every-ms": scenario.permissions.max_poll_interval_ms,
        "drain-grace-ms": rules.drain_grace_ms,
        "cold-from": least_cold_share,
        "cold-ms": longest_slow_start_s * 1_000.0,
        "overload-factor": rules.cold_overload_factor,
        "fall-ms": rules.cold_overload_window_ms,
    })
}
