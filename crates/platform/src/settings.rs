//! The settings of a deployment: the balancer's settings, and the names of the classes and zones
//! that the balancer refers to by number.
//!
//! This module defines the defaults and the units of the keys. The keys form three groups, since
//! hosts differ in their capabilities: [`PlatformSettings`] is read by every host,
//! [`TransportSettings`] by hosts that open connections, and [`SimulatorFeatures`] by hosts in the
//! simulator. A host ignores the keys of the groups that it does not read, even if their values are
//! invalid. [`SettingsDocument`] writes all three groups.

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

/// The zone number of a balancer whose zone is not in the settings' list of zones. Zones are
/// numbered from 0 in the order of that list, so no server's zone has this number.
const UNKNOWN_ZONE: u32 = u32::MAX;

/// The priority weight applies to each unit of a request's work.
const WEIGHT_BY_WORK: &str = "work";
/// The priority weight applies to the request as a whole.
const WEIGHT_BY_REQUEST: &str = "request";

/// Load reports are delivered in responses and in health check results.
const REPORTS_IN_RESPONSES: &str = "answers";
/// Load reports are delivered in health check results.
const REPORTS_IN_HEALTH_CHECKS: &str = "probe";
/// Load reports are not delivered.
const NO_REPORTS: &str = "none";

/// The settings that every host reads.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The balancer's settings, not validated yet. The features in [`SimulatorFeatures`] are off.
    pub balancer: Settings,
    /// Names of the request classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Names of the zones; [`BalancerIdentity::zone`] is an index into them.
    pub zones: Vec<String>,
    /// Positions of the known fields in the simulator's load reports.
    pub load_report: LoadReportLayout,
}

impl PlatformSettings {
    /// Reads the settings object. `default_max_retry_after` is used if the settings have no longest
    /// Retry-After. Hosts differ in this default: in the simulator, clients then do not wait at
    /// all.
    ///
    /// # Errors
    /// Names the first key whose value is invalid. [`Settings::validate`] checks the ranges.
    pub fn read(settings_node: &Node, default_max_retry_after: Micros) -> Result<Self, KeyError> {
        let (class_names, classes) = read_request_classes(settings_node)?;
        let zones = read_zones(settings_node)?;
        let own_zone = settings_node.at(keys::settings::ZONE).optional_string()?;
        let report = ReportSettings::read(&settings_node.at(keys::settings::REPORT))?;
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
            balancer: read_balancer_settings(settings_node, base)?,
            class_names,
            zones,
            load_report: report.layout,
        })
    }
}

/// The names of the request classes and the classes, both in the order of the settings.
fn read_request_classes(
    settings_node: &Node,
) -> Result<(Vec<String>, Vec<RequestClass>), KeyError> {
    let read = |node: &Node| {
        // The order of the reads decides which of two invalid keys is reported.
        let class = read_request_class(node)?;
        let name = node.at(keys::request_class::NAME).string()?;
        Ok((name, class))
    };
    let classes = settings_node.at(keys::settings::REQUEST_CLASSES).items()?;
    classes.iter().map(read).collect()
}

fn read_zones(settings_node: &Node) -> Result<Vec<String>, KeyError> {
    let zones = settings_node.at(keys::settings::ZONES).items()?;
    zones.iter().map(Node::string).collect()
}

/// Index of the balancer's own zone in the list of zones, or [`UNKNOWN_ZONE`].
fn zone_index(zones: &[String], own: Option<&str>) -> u32 {
    let index = zones.iter().position(|zone| Some(zone.as_str()) == own);
    index
        .and_then(|index| u32::try_from(index).ok())
        .unwrap_or(UNKNOWN_ZONE)
}

/// The settings for load reports.
struct ReportSettings {
    layout: LoadReportLayout,
    in_health_checks: bool,
    in_responses: bool,
}

impl ReportSettings {
    fn read(report: &Node) -> Result<Self, KeyError> {
        let layout = LoadReportLayout::read(&report.at(keys::report::FIELDS))?;
        let source = report.at(keys::report::SOURCE).optional_string()?;
        Ok(Self {
            layout,
            in_health_checks: layout.in_flight.is_some() && source.as_deref() != Some(NO_REPORTS),
            in_responses: source.as_deref() == Some(REPORTS_IN_RESPONSES),
        })
    }
}

#[cfg(test)]
mod tests;
