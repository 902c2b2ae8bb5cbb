//! The settings of an instance, from the event that attaches it.
//!
//! Owns the conversion between the two JSON libraries and what holds in the simulator alone; keys
//! and defaults are owned by `arrowstand-platform`.

use std::collections::HashMap;

use arrowstand_balancer::Micros;
use arrowstand_platform::json::Node;
use arrowstand_platform::{KeyError, PlatformSettings, SimulatorFeatures};
use serde_json::Value;
use tinyjson::JsonValue;

/// Longest Retry-After in microseconds where the settings name none: simulated clients then wait
/// for no time at all.
const DEFAULT_MAX_RETRY_AFTER: Micros = 0;

/// Reads the settings object.
///
/// # Errors
/// Names the first key whose value cannot be used.
pub(super) fn read(conf: &Value) -> Result<PlatformSettings, KeyError> {
    let value = to_tinyjson(conf);
    let conf = Node::root(&value);
    let mut platform = PlatformSettings::read(&conf, DEFAULT_MAX_RETRY_AFTER)?;
    SimulatorFeatures::read(&conf)?.apply(&mut platform.balancer);
    Ok(platform)
}

/// The form that `arrowstand-platform` reads. A line is parsed as a whole by `serde_json`; the
/// settings are converted and not parsed a second time, as the two parsers may round the last digit
/// of a number differently.
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
