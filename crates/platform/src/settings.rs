//! The settings of a deployment: what the balancer is configured with, and the names behind its
//! numbers.
//!
//! Owns the defaults and the units of the keys. The keys come in three groups, as hosts differ in
//! what they can do: [`PlatformSettings`] is read by every host, [`TransportSettings`] by those
//! that open connections, and [`SimulatorFeatures`] by those in the simulator. A host ignores the
//! keys of a group that it does not read, whatever their values. [`SettingsDocument`] writes all
//! three.

mod document;
mod request_class;
mod simulator;
mod transport;
mod values;

use arrowstand_balancer::{
    BalancerIdentity, Fees, HostCapabilities, Micros, PollingSettings, RetrySettings, Settings,
    SlowStartSettings,
};

use crate::error::KeyError;
use crate::json::Node;
use crate::keys;
use crate::load_report::LoadReportLayout;
use request_class::read_request_class;
use values::{count_or, flag, number_or, time_or};

pub use document::SettingsDocument;
pub use simulator::SimulatorFeatures;
pub use transport::{MembershipMode, TransportSettings};

/// The zone of a balancer that is in none of the settings' zones.
const UNKNOWN_ZONE: u32 = u32::MAX;

/// The value of a request counts for each unit of its work.
const WEIGHT_BY_WORK: &str = "work";
/// The value of a request counts for the request.
const WEIGHT_BY_REQUEST: &str = "request";

/// Load reports come in responses and in the results of health checks.
const REPORTS_IN_RESPONSES: &str = "answers";
/// Load reports come in the results of health checks.
const REPORTS_IN_HEALTH_CHECKS: &str = "probe";
/// There are no load reports.
const NO_REPORTS: &str = "none";

/// The settings that every host reads.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The balancer's settings, not validated yet. What [`SimulatorFeatures`] holds is off.
    pub balancer: Settings,
    /// Names of the request classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Names of the zones, in the numbering of [`BalancerIdentity::zone`].
    pub zones: Vec<String>,
    /// Where the known values stand in the simulator's load reports.
    pub load_report: LoadReportLayout,
}

impl PlatformSettings {
    /// Reads the settings object. `default_max_retry_after` applies where the settings name no
    /// longest Retry-After, in which hosts differ: in the simulator such a client waits for no time
    /// at all.
    ///
    /// # Errors
    /// Names the first key whose value cannot be used. Ranges are left to [`Settings::validate`].
    pub fn read(conf: &Node, default_max_retry_after: Micros) -> Result<Self, KeyError> {
        let mut classes = Vec::new();
        let mut class_names = Vec::new();
        for node in conf.at(keys::settings::REQUEST_CLASSES).items()? {
            classes.push(read_request_class(&node)?);
            class_names.push(node.at(keys::request_class::NAME).text()?);
        }
        let mut zones = Vec::new();
        for zone in conf.at(keys::settings::ZONES).items()? {
            zones.push(zone.text()?);
        }
        let own_zone = conf.at(keys::settings::ZONE).optional_text()?;
        let zone = zones
            .iter()
            .position(|zone| Some(zone) == own_zone.as_ref())
            .and_then(|index| u32::try_from(index).ok());
        let report = ReportSettings::read(&conf.at(keys::settings::REPORT))?;
        let base = Settings {
            classes,
            identity: BalancerIdentity {
                zone: zone.unwrap_or(UNKNOWN_ZONE),
                ..BalancerIdentity::default()
            },
            host: HostCapabilities {
                load_reports: report.in_health_checks,
                load_reports_in_responses: report.in_responses,
                ..HostCapabilities::default()
            },
            retries: RetrySettings {
                max_retry_after: default_max_retry_after,
                ..RetrySettings::default()
            },
            ..Settings::default()
        };
        Ok(Self {
            balancer: read_balancer_settings(conf, base)?,
            class_names,
            zones,
            load_report: report.layout,
        })
    }
}

/// What the settings say on load reports.
struct ReportSettings {
    layout: LoadReportLayout,
    in_health_checks: bool,
    in_responses: bool,
}

impl ReportSettings {
    fn read(report: &Node) -> Result<Self, KeyError> {
        let layout = LoadReportLayout::read(&report.at(keys::report::FIELDS))?;
        let source = report.at(keys::report::SOURCE).optional_text()?;
        Ok(Self {
            layout,
            in_health_checks: layout.in_flight.is_some() && source.as_deref() != Some(NO_REPORTS),
            in_responses: source.as_deref() == Some(REPORTS_IN_RESPONSES),
        })
    }
}

/// Fills the single values; `base` has the defaults and all that is no single value.
///
/// The order of the reads decides which of several bad keys is reported.
fn read_balancer_settings(conf: &Node, base: Settings) -> Result<Settings, KeyError> {
    let permissions = conf.at(keys::settings::PERMISSIONS);
    let safety = conf.at(keys::settings::SAFETY);
    let fees = conf.at(keys::settings::FEES);
    let identity = BalancerIdentity {
        index: count_or(&conf.at(keys::settings::BALANCER_INDEX), 0)?,
        count: count_or(&conf.at(keys::settings::BALANCER_COUNT), 1)?,
        ..base.identity
    };
    let step = time_or(&conf.at(keys::settings::STEP_MS), base.step)?;
    let host = read_host_capabilities(&permissions, base.host)?;
    let retries = read_retry_settings(&permissions, base.retries)?;
    let health_check_fee = number_or(&fees.at(keys::fees::HEALTH_CHECK), 0.0)?;
    let handshake_fee = number_or(&fees.at(keys::fees::HANDSHAKE), 0.0)?;
    let idle_timeout = time_or(&transport::idle_timeout_key(conf), base.idle_timeout)?;
    let fees = Fees {
        health_check: health_check_fee,
        handshake: handshake_fee,
        connection: number_or(&fees.at(keys::fees::CONNECTION), 0.0)?,
        cross_zone: number_or(&fees.at(keys::fees::CROSS_ZONE), 0.0)?,
    };
    Ok(Settings {
        identity,
        step,
        host,
        retries,
        fees,
        idle_timeout,
        weight_by_work: conf
            .at(keys::settings::WEIGHT_BASIS)
            .optional_text()?
            .as_deref()
            == Some(WEIGHT_BY_WORK),
        polling: read_polling_settings(&safety, base.polling)?,
        only_draining_binds: flag(&safety.at(keys::safety::ONLY_DRAINING_BINDS))?,
        slow_start: read_slow_start_settings(&safety, base.slow_start)?,
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
    Ok(RetrySettings {
        hedging: flag(&permissions.at(keys::permissions::HEDGING))?,
        max_retry_after: time_or(&max_retry_after, base.max_retry_after)?,
        max_attempts: count_or(
            &permissions.at(keys::permissions::MAX_ATTEMPTS),
            base.max_attempts,
        )?,
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

#[cfg(test)]
mod tests;
