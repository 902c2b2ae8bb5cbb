//! The single values of the balancer's settings: numbers, times and flags.
//!
//! Owns the order in which they are read and the fees' default; classes, zones and the source of
//! load reports are read by [`PlatformSettings`](super::PlatformSettings).

use arrowstand_balancer::{
    BalancerIdentity, Fees, HostCapabilities, PollingSettings, RetrySettings, Settings,
    SlowStartSettings,
};

use super::WEIGHT_BY_WORK;
use super::transport::idle_timeout_key;
use super::values::{count_or, flag, number_or, time_or};
use crate::error::KeyError;
use crate::json::Node;
use crate::keys;

/// Share of the deployment's result that an action costs where the settings name no fee for it.
const NO_FEE: f64 = 0.0;
/// Number of the balancer where the settings name none.
const FIRST_INDEX: u32 = 0;
/// Number of balancers where the settings name none.
const LONE_BALANCER: u32 = 1;

/// Fills the single values; `base` has the defaults and all that is no single value.
///
/// The order of the reads decides which of several bad keys is reported.
pub(super) fn read_balancer_settings(conf: &Node, base: Settings) -> Result<Settings, KeyError> {
    let permissions = conf.at(keys::settings::PERMISSIONS);
    let safety = conf.at(keys::settings::SAFETY);
    let fees = conf.at(keys::settings::FEES);
    let identity = read_identity(conf, base.identity)?;
    let min_call_interval = time_or(&conf.at(keys::settings::STEP_MS), base.min_call_interval)?;
    let host = read_host_capabilities(&permissions, base.host)?;
    let retries = read_retry_settings(&permissions, base.retries)?;
    let health_check = number_or(&fees.at(keys::fees::HEALTH_CHECK), NO_FEE)?;
    let handshake = number_or(&fees.at(keys::fees::HANDSHAKE), NO_FEE)?;
    let idle_timeout = time_or(&idle_timeout_key(conf), base.idle_timeout)?;
    let fees = Fees {
        health_check,
        handshake,
        connection: number_or(&fees.at(keys::fees::CONNECTION), NO_FEE)?,
        cross_zone: number_or(&fees.at(keys::fees::CROSS_ZONE), NO_FEE)?,
    };
    let weight_basis = conf.at(keys::settings::WEIGHT_BASIS).optional_text()?;
    Ok(Settings {
        identity,
        min_call_interval,
        host,
        retries,
        fees,
        idle_timeout,
        weight_by_work: weight_basis.as_deref() == Some(WEIGHT_BY_WORK),
        polling: read_polling_settings(&safety, base.polling)?,
        allow_removed_servers: flag(&safety.at(keys::safety::ONLY_DRAINING_BINDS))?,
        slow_start: read_slow_start_settings(&safety, base.slow_start)?,
        ..base
    })
}

fn read_identity(conf: &Node, base: BalancerIdentity) -> Result<BalancerIdentity, KeyError> {
    let index = conf.at(keys::settings::BALANCER_INDEX);
    let count = conf.at(keys::settings::BALANCER_COUNT);
    Ok(BalancerIdentity {
        index: count_or(&index, FIRST_INDEX)?,
        count: count_or(&count, LONE_BALANCER)?,
        ..base
    })
}

fn read_host_capabilities(
    permissions: &Node,
    base: HostCapabilities,
) -> Result<HostCapabilities, KeyError> {
    Ok(HostCapabilities {
        cancellation: flag(&permissions.at(keys::permissions::CANCELLATION))?,
        health_checks: flag(&permissions.at(keys::permissions::HEALTH_CHECKS))?,
        gossip: false,
        retry_after: false,
        ..base
    })
}

fn read_retry_settings(permissions: &Node, base: RetrySettings) -> Result<RetrySettings, KeyError> {
    let max_retry_after = permissions.at(keys::permissions::MAX_RETRY_AFTER_MS);
    let max_attempts = permissions.at(keys::permissions::MAX_ATTEMPTS);
    Ok(RetrySettings {
        hedging: flag(&permissions.at(keys::permissions::HEDGING))?,
        max_retry_after: time_or(&max_retry_after, base.max_retry_after)?,
        max_attempts: count_or(&max_attempts, base.max_attempts)?,
    })
}

fn read_polling_settings(
    safety: &Node,
    base: PollingSettings,
) -> Result<PollingSettings, KeyError> {
    Ok(PollingSettings {
        required: false,
        max_interval: time_or(
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
        duration: time_or(&safety.at(keys::safety::SLOW_START_MS), base.duration)?,
        overload_factor: number_or(
            &safety.at(keys::safety::OVERLOAD_FACTOR),
            base.overload_factor,
        )?,
        overload_window: time_or(
            &safety.at(keys::safety::OVERLOAD_WINDOW_MS),
            base.overload_window,
        )?,
    })
}
