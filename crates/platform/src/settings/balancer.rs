//! The scalar values of the balancer's settings: numbers, times and booleans.
//!
//! [`PlatformSettings`](super::PlatformSettings) reads the classes, the zones and the source of
//! load reports.

use arrowstand_balancer::{
    BalancerIdentity, Fees, HostCapabilities, PollingSettings, RetrySettings, Settings,
    SlowStartSettings,
};

use super::WEIGHT_BY_WORK;
use super::transport::idle_timeout_node;
use super::values::{boolean_or_false, count_or, micros_or, number_or};
use crate::error::KeyError;
use crate::json::Node;
use crate::keys;

/// Fee of an action if the settings have none, as a fraction of the deployment's result.
const DEFAULT_FEE: f64 = 0.0;
/// Number of the balancer if the settings have none.
const DEFAULT_BALANCER_INDEX: u32 = 0;
/// Number of balancers if the settings have none.
const DEFAULT_BALANCER_COUNT: u32 = 1;

/// Reads the scalar values. `base` has their defaults, and all other values.
///
/// The order of the reads decides which of several invalid keys is reported.
pub(super) fn read_balancer_settings(
    settings_node: &Node,
    base: Settings,
) -> Result<Settings, KeyError> {
    let permissions = settings_node.at(keys::settings::PERMISSIONS);
    let safety = settings_node.at(keys::settings::SAFETY);
    let fees = settings_node.at(keys::settings::FEES);
    let identity = read_identity(settings_node, base.identity)?;
    let min_call_interval = micros_or(
        &settings_node.at(keys::settings::STEP_MS),
        base.min_call_interval,
    )?;
    let host = read_host_capabilities(&permissions, base.host)?;
    let retries = read_retry_settings(&permissions, base.retries)?;
    let health_check = number_or(&fees.at(keys::fees::HEALTH_CHECK), DEFAULT_FEE)?;
    let handshake = number_or(&fees.at(keys::fees::HANDSHAKE), DEFAULT_FEE)?;
    let idle_timeout = micros_or(&idle_timeout_node(settings_node), base.idle_timeout)?;
    let fees = Fees {
        health_check,
        handshake,
        connection: number_or(&fees.at(keys::fees::CONNECTION), DEFAULT_FEE)?,
        cross_zone: number_or(&fees.at(keys::fees::CROSS_ZONE), DEFAULT_FEE)?,
    };
    let weight_basis = settings_node
        .at(keys::settings::WEIGHT_BASIS)
        .optional_string()?;
    Ok(Settings {
        identity,
        min_call_interval,
        host,
        retries,
        fees,
        idle_timeout,
        weight_by_work: weight_basis.as_deref() == Some(WEIGHT_BY_WORK),
        polling: read_polling_settings(&safety, base.polling)?,
        allow_removed_servers: boolean_or_false(&safety.at(keys::safety::ONLY_DRAINING_BINDS))?,
        slow_start: read_slow_start_settings(&safety, base.slow_start)?,
        ..base
    })
}

fn read_identity(
    settings_node: &Node,
    base: BalancerIdentity,
) -> Result<BalancerIdentity, KeyError> {
    let index = settings_node.at(keys::settings::BALANCER_INDEX);
    let count = settings_node.at(keys::settings::BALANCER_COUNT);
    Ok(BalancerIdentity {
        index: count_or(&index, DEFAULT_BALANCER_INDEX)?,
        count: count_or(&count, DEFAULT_BALANCER_COUNT)?,
        ..base
    })
}

fn read_host_capabilities(
    permissions: &Node,
    base: HostCapabilities,
) -> Result<HostCapabilities, KeyError> {
    Ok(HostCapabilities {
        cancellation: boolean_or_false(&permissions.at(keys::permissions::CANCELLATION))?,
        health_checks: boolean_or_false(&permissions.at(keys::permissions::HEALTH_CHECKS))?,
        gossip: false,
        retry_after: false,
        ..base
    })
}

fn read_retry_settings(permissions: &Node, base: RetrySettings) -> Result<RetrySettings, KeyError> {
    let max_retry_after = permissions.at(keys::permissions::MAX_RETRY_AFTER_MS);
    let max_attempts = permissions.at(keys::permissions::MAX_ATTEMPTS);
    Ok(RetrySettings {
        hedging: boolean_or_false(&permissions.at(keys::permissions::HEDGING))?,
        max_retry_after: micros_or(&max_retry_after, base.max_retry_after)?,
        max_attempts: count_or(&max_attempts, base.max_attempts)?,
    })
}

fn read_polling_settings(
    safety: &Node,
    base: PollingSettings,
) -> Result<PollingSettings, KeyError> {
    Ok(PollingSettings {
        required: false,
        max_interval: micros_or(
            &safety.at(keys::safety::MAX_POLL_INTERVAL_MS),
            base.max_interval,
        )?,
    })
}

fn read_slow_start_settings(
    safety: &Node,
    base: SlowStartSettings,
) -> Result<SlowStartSettings, KeyError> {
    Ok(SlowStartSettings {
        initial_capacity: number_or(
            &safety.at(keys::safety::INITIAL_CAPACITY),
            base.initial_capacity,
        )?,
        duration: micros_or(&safety.at(keys::safety::SLOW_START_MS), base.duration)?,
        overload_factor: number_or(
            &safety.at(keys::safety::OVERLOAD_FACTOR),
            base.overload_factor,
        )?,
        overload_window: micros_or(
            &safety.at(keys::safety::OVERLOAD_WINDOW_MS),
            base.overload_window,
        )?,
    })
}
