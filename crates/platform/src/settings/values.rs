//! Optional values of the settings: reading them with a default, and omitting them when they equal
//! the default. The callers know the keys.

use std::time::Duration;

use arrowstand_balancer::Micros;
use serde_json::Value;

use crate::error::KeyError;
use crate::json::Node;
use crate::number::truncate_to_u32;
use crate::units::{duration_from_ms, micros_from_ms};

/// A boolean that is false if the key is absent.
pub(super) fn boolean_or_false(node: &Node) -> Result<bool, KeyError> {
    Ok(node.optional_boolean()?.unwrap_or(false))
}

/// A finite number that is not negative.
pub(super) fn number_or(node: &Node, default: f64) -> Result<f64, KeyError> {
    Ok(node.optional_number()?.unwrap_or(default))
}

/// A count. A fraction is truncated, and a number above the range becomes [`u32::MAX`].
pub(super) fn count_or(node: &Node, default: u32) -> Result<u32, KeyError> {
    Ok(truncate_to_u32(number_or(node, f64::from(default))?))
}

/// A time in milliseconds, converted to microseconds. The default is in microseconds.
pub(super) fn micros_or(node: &Node, default: Micros) -> Result<Micros, KeyError> {
    Ok(node.optional_number()?.map_or(default, micros_from_ms))
}

/// A time in milliseconds, converted to a [`Duration`]. The default is in milliseconds.
pub(super) fn duration_or(node: &Node, default_ms: f64) -> Result<Duration, KeyError> {
    Ok(duration_from_ms(
        node.optional_number()?.unwrap_or(default_ms),
    ))
}

/// Adds a value to a JSON object unless it equals the default that readers use for an absent key.
pub(super) fn insert_unless_default<T>(object: &mut Value, key: &str, value: T)
where
    T: Default + PartialEq + Into<Value>,
{
    if value != T::default() {
        object[key] = value.into();
    }
}
