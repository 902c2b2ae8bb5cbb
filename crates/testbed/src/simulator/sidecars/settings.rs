//! The settings of the balancers at a scenario's sidecars, equivalent to those of the real program.

use arrowstand_balancer::{
    self as balancer, BalancerIdentity, Fees, HostCapabilities, PollingSettings, RequestClass,
    RetrySettings, Settings, SlowStartSettings,
};

use crate::conversion::u32_from_count;
use crate::index::SidecarIndex;
use crate::scenario::{
    Class, DeduplicationScope, Idempotency, LoadReportSource, MachineType, Micros, Prices,
    Scenario, from_ms, from_s,
};

/// A sidecar responds at least this long before the client's timeout, in microseconds; `step-ms` in
/// the settings of the real program.
pub(super) const RESPONSE_MARGIN: Micros = 5_000;

fn request_class(class: &Class) -> RequestClass {
    let idempotency = match class.idempotency {
        Idempotency::Idempotent => balancer::Idempotency::Idempotent,
        Idempotency::NonIdempotent => balancer::Idempotency::NonIdempotent,
        Idempotency::IdempotencyKey => balancer::Idempotency::IdempotencyKey,
    };
    let deduplication_scope = match class.deduplication_scope {
        DeduplicationScope::Zone => balancer::DeduplicationScope::Zone,
        DeduplicationScope::All => balancer::DeduplicationScope::All,
    };
    let objective = from_ms(class.latency_objective_ms);
    let deadline = from_ms(class.deadline_ms);
    RequestClass {
        priority_weight: class.priority_weight,
        deduplication_scope,
        deduplication_window: from_ms(class.deduplication_window_ms),
        late_value: class.late_value,
        ..RequestClass::new(idempotency, objective, deadline)
    }
}

/// Returns the settings of the balancer at a sidecar.
pub(crate) fn balancer_settings(scenario: &Scenario, sidecar_index: SidecarIndex) -> Settings {
    let permissions = &scenario.permissions;
    Settings {
        classes: scenario.class.iter().map(request_class).collect(),
        identity: BalancerIdentity {
            zone: scenario.sidecar_zone(sidecar_index),
            index: sidecar_index.value(),
            count: u32_from_count(scenario.sidecars.count),
        },
        min_call_interval: RESPONSE_MARGIN,
        host: host_capabilities(scenario),
        retries: RetrySettings {
            hedging: permissions.hedging,
            max_retry_after: from_ms(permissions.max_retry_after_ms),
            max_attempts: permissions.max_attempts,
        },
        fees: fees(&scenario.prices),
        idle_timeout: from_s(permissions.idle_timeout_s),
        weight_by_work: scenario.load.weight_by_work,
        polling: PollingSettings {
            required: true,
            max_interval: from_ms(permissions.max_poll_interval_ms),
        },
        allow_removed_servers: false,
        slow_start: slow_start_settings(scenario),
    }
}

/// Returns the balancer's fees from the scenario's prices, which have none for an open connection.
fn fees(prices: &Prices) -> Fees {
    Fees {
        health_check: prices.health_check,
        handshake: prices.handshake,
        connection: 0.0,
        cross_zone: prices.cross_zone,
    }
}

fn host_capabilities(scenario: &Scenario) -> HostCapabilities {
    HostCapabilities {
        cancellation: scenario.permissions.cancellation,
        health_checks: scenario.permissions.health_checks,
        gossip: false,
        retry_after: true,
        load_reports_in_health_checks: true,
        load_reports_in_responses: scenario.load_reports.source == LoadReportSource::Responses,
    }
}

fn slow_start_settings(scenario: &Scenario) -> SlowStartSettings {
    let machine_types = &scenario.machine_type;
    SlowStartSettings {
        initial_capacity: min_cold_capacity_share(machine_types),
        duration: max_slow_start(machine_types),
        overload_factor: scenario.rules.cold_overload_factor,
        overload_window: from_ms(scenario.rules.cold_overload_window_ms),
    }
}

fn min_cold_capacity_share(machine_types: &[MachineType]) -> f64 {
    let shares = machine_types.iter().map(|t| t.cold_capacity_share);
    shares.fold(1.0, f64::min)
}

fn max_slow_start(machine_types: &[MachineType]) -> Micros {
    let seconds = machine_types.iter().map(|t| t.slow_start_s);
    from_s(seconds.fold(0.0, f64::max))
}
