//! The settings of a deployment: what the balancer is configured with, and the names behind its
//! numbers.
//!
//! Owns the defaults and the units of the keys. The keys come in three groups, as hosts differ in
//! what they can do: [`PlatformSettings`] is read by every host, [`TransportSettings`] by those
//! that open connections, and [`SimulatorFeatures`] by those in the simulator. A host ignores the
//! keys of a group that it does not read, whatever their values. [`SettingsDocument`] writes all
//! three.

mod balancer;
mod document;
mod request_class;
mod simulator;
mod transport;
mod values;

use arrowstand_balancer::{
    BalancerIdentity, HostCapabilities, Micros, RequestClass, RetrySettings, Settings,
};

use crate::error::KeyError;
use crate::json::Node;
use crate::keys;
use crate::load_report::LoadReportLayout;
use balancer::read_balancer_settings;
use request_class::read_request_class;

pub use document::SettingsDocument;
pub use simulator::SimulatorFeatures;
pub use transport::{MembershipMode, TransportSettings};

/// The zone of a balancer that is in none of the settings' zones. Zones are numbered from 0 in the
/// order in which they are named, so no server's zone has this number.
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
        let (class_names, classes) = read_request_classes(conf)?;
        let zones = read_zones(conf)?;
        let own_zone = conf.at(keys::settings::ZONE).optional_text()?;
        let report = ReportSettings::read(&conf.at(keys::settings::REPORT))?;
        let base = Settings {
            classes,
            identity: BalancerIdentity {
                zone: zone_index(&zones, own_zone.as_deref()),
                ..BalancerIdentity::default()
            },
            host: HostCapabilities {
                load_reports_in_health_checks: report.in_health_checks,
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

/// The request classes and their names, in the order of the settings.
fn read_request_classes(conf: &Node) -> Result<(Vec<String>, Vec<RequestClass>), KeyError> {
    let read = |node: &Node| {
        // The order of the reads decides which of two bad keys is reported.
        let class = read_request_class(node)?;
        let name = node.at(keys::request_class::NAME).text()?;
        Ok((name, class))
    };
    let classes = conf.at(keys::settings::REQUEST_CLASSES).items()?;
    classes.iter().map(read).collect()
}

fn read_zones(conf: &Node) -> Result<Vec<String>, KeyError> {
    let zones = conf.at(keys::settings::ZONES).items()?;
    zones.iter().map(Node::text).collect()
}

/// Number of the balancer's own zone among the zones.
fn zone_index(zones: &[String], own: Option<&str>) -> u32 {
    let index = zones.iter().position(|zone| Some(zone.as_str()) == own);
    index
        .and_then(|index| u32::try_from(index).ok())
        .unwrap_or(UNKNOWN_ZONE)
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

#[cfg(test)]
mod tests;
