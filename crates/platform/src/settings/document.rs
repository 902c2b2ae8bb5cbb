//! Writes the settings object: the inverse of the readers of its three groups.

use arrowstand_balancer::Settings;
use serde_json::{Value, json};

use super::request_class::write_request_class;
use super::values::insert_unless_default;
use super::{
    NO_REPORTS, PlatformSettings, REPORTS_IN_HEALTH_CHECKS, REPORTS_IN_RESPONSES,
    SimulatorFeatures, TransportSettings, WEIGHT_BY_REQUEST, WEIGHT_BY_WORK,
};
use crate::keys;
use crate::units::{ms_from_duration, ms_from_micros};

/// The contents of a settings object, as returned by the readers of its three groups.
///
/// Two keys are read into two groups each and written from the transport settings: the idle
/// timeout, which the balancer's settings have too, and the membership mode, from which the features
/// derive whether to poll. The features are off in the balancer's settings (see
/// [`PlatformSettings::balancer`]), so they are written from [`SimulatorFeatures`] alone.
#[derive(Clone, Copy, Debug)]
pub struct SettingsDocument<'a> {
    /// The settings that every host reads.
    pub platform: &'a PlatformSettings,
    /// The settings that hosts that open connections read.
    pub transport: &'a TransportSettings,
    /// The settings that hosts in the simulator read.
    pub features: &'a SimulatorFeatures,
}

impl SettingsDocument<'_> {
    /// The settings object, with sorted keys and times in milliseconds. Reading it returns the same
    /// values if times are below 2^51 microseconds, numbers are finite and zone names are distinct.
    ///
    /// Three keys that not every deployment's settings have are omitted if their value is the
    /// default: `aim-stretch`, `connection` and `only-draining-binds`.
    pub fn to_json(&self) -> Value {
        let settings = &self.platform.balancer;
        json!({
            keys::settings::ZONE: self.own_zone(),
            keys::settings::ZONES: self.platform.zones,
            keys::settings::BALANCER_COUNT: settings.identity.count,
            keys::settings::BALANCER_INDEX: settings.identity.index,
            keys::settings::MEMBERSHIP_MODE: self.transport.membership.name(),
            keys::settings::WEIGHT_BASIS: weight_basis(settings),
            keys::settings::STEP_MS: ms_from_micros(settings.min_call_interval),
            keys::settings::REQUEST_CLASSES: self.request_classes(),
            keys::settings::PERMISSIONS: self.permissions(),
            keys::settings::FEES: fees(settings),
            keys::settings::REPORT: self.report(),
            keys::settings::SAFETY: self.safety(),
        })
    }

    /// Name of the balancer's zone; `None` if it is in none of the zones.
    fn own_zone(&self) -> Option<&String> {
        let index = usize::try_from(self.platform.balancer.identity.zone).ok()?;
        self.platform.zones.get(index)
    }

    fn request_classes(&self) -> Vec<Value> {
        let classes = &self.platform.balancer.classes;
        let streamed = self.features.streamed.iter().copied();
        let streamed = streamed.chain(std::iter::repeat(false));
        self.platform
            .class_names
            .iter()
            .zip(classes)
            .zip(streamed)
            .map(|((name, class), streamed)| write_request_class(name, class, streamed))
            .collect()
    }

    fn permissions(&self) -> Value {
        let settings = &self.platform.balancer;
        json!({
            keys::permissions::CANCELLATION: settings.host.cancellation,
            keys::permissions::HEALTH_CHECKS: settings.host.health_checks,
            keys::permissions::GOSSIP: self.features.gossip,
            keys::permissions::HEDGING: settings.retries.hedging,
            keys::permissions::RETRY_AFTER: self.features.retry_after,
            keys::permissions::MAX_RETRY_AFTER_MS: ms_from_micros(settings.retries.max_retry_after),
            keys::permissions::MAX_ATTEMPTS: settings.retries.max_attempts,
            keys::permissions::CONNECT_TIMEOUT_MS: ms_from_duration(self.transport.connect_timeout),
            keys::permissions::IDLE_TIMEOUT_MS: ms_from_duration(self.transport.idle_timeout),
        })
    }

    fn report(&self) -> Value {
        let host = &self.platform.balancer.host;
        let source = if host.load_reports_in_responses {
            REPORTS_IN_RESPONSES
        } else if host.load_reports_in_health_checks {
            REPORTS_IN_HEALTH_CHECKS
        } else {
            NO_REPORTS
        };
        json!({
            keys::report::FIELDS: self.platform.load_report.field_names(),
            keys::report::SOURCE: source,
        })
    }

    fn safety(&self) -> Value {
        let settings = &self.platform.balancer;
        let slow_start = &settings.slow_start;
        let mut safety = json!({
            keys::safety::MAX_POLL_INTERVAL_MS: ms_from_micros(settings.polling.max_interval),
            keys::safety::DRAIN_GRACE_MS: ms_from_duration(self.transport.drain_grace),
            keys::safety::INITIAL_CAPACITY: slow_start.initial_capacity,
            keys::safety::SLOW_START_MS: ms_from_micros(slow_start.duration),
            keys::safety::OVERLOAD_FACTOR: slow_start.overload_factor,
            keys::safety::OVERLOAD_WINDOW_MS: ms_from_micros(slow_start.overload_window),
        });
        let key = keys::safety::ONLY_DRAINING_BINDS;
        insert_unless_default(&mut safety, key, settings.allow_removed_servers);
        safety
    }
}

fn weight_basis(settings: &Settings) -> &'static str {
    if settings.weight_by_work {
        WEIGHT_BY_WORK
    } else {
        WEIGHT_BY_REQUEST
    }
}

fn fees(settings: &Settings) -> Value {
    let mut fees = json!({
        keys::fees::HEALTH_CHECK: settings.fees.health_check,
        keys::fees::HANDSHAKE: settings.fees.handshake,
        keys::fees::CROSS_ZONE: settings.fees.cross_zone,
    });
    insert_unless_default(&mut fees, keys::fees::CONNECTION, settings.fees.connection);
    fees
}

#[cfg(test)]
mod tests;
