//! The settings of an instance, from the event that attaches it.
//!
//! This module converts between the two JSON libraries and applies the settings that exist only in
//! the simulator. `arrowstand-platform` defines the keys and the defaults.

use std::collections::HashMap;

use arrowstand_balancer::Micros;
use arrowstand_platform::json::Node;
use arrowstand_platform::{KeyError, PlatformSettings, SimulatorFeatures};
use serde_json::Value;
use tinyjson::JsonValue;

/// Maximum Retry-After in microseconds if the settings have none. Simulated clients then do not
/// wait at all.
const DEFAULT_MAX_RETRY_AFTER: Micros = 0;

/// Parses the settings object.
///
/// # Errors
/// Returns the first key with an invalid value.
pub(super) fn parse(settings: &Value) -> Result<PlatformSettings, KeyError> {
    let value = to_tinyjson(settings);
    let settings_node = Node::root(&value);
    let mut platform = PlatformSettings::read(&settings_node, DEFAULT_MAX_RETRY_AFTER)?;
    SimulatorFeatures::read(&settings_node)?.apply(&mut platform.balancer);
    Ok(platform)
}

/// Converts to the type that `arrowstand-platform` reads. `serde_json` parses a line as a whole.
/// The settings are converted instead of being parsed again because the two parsers may round the
/// last digit of a number differently.
fn to_tinyjson(value: &Value) -> JsonValue {
    match value {
        Value::Null => JsonValue::Null,
        Value::Bool(flag) => JsonValue::Boolean(*flag),
        Value::Number(number) => JsonValue::Number(number.as_f64().unwrap_or(f64::NAN)),
        Value::String(text) => JsonValue::String(text.clone()),
        Value::Array(elements) => JsonValue::Array(elements.iter().map(to_tinyjson).collect()),
        Value::Object(members) => {
            let members = members
                .iter()
                .map(|(key, member)| (key.clone(), to_tinyjson(member)));
            JsonValue::Object(members.collect::<HashMap<_, _>>())
        }
    }
}

#[cfg(test)]
mod tests;
