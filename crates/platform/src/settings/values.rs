//! Optional values of the settings, with their defaults. Owns how an absent value is read and when
//! a value is left out; which keys exist is known by the callers.

use std::time::Duration;

use arrowstand_balancer::Micros;
use serde_json::Value;

use crate::error::KeyError;
use crate::json::Node;
use crate::number::truncate_to_u32;
use crate::units::{duration_from_ms, micros_from_ms};

/// A boolean that is false where the key is absent.
pub(super) fn boolean_or_false(node: &Node) -> Result<bool, KeyError> {
    Ok(node.optional_boolean()?.unwrap_or(false))
}

/// A number.
pub(super) fn number_or(node: &Node, default: f64) -> Result<f64, KeyError> {
    Ok(node.optional_number()?.unwrap_or(default))
}

/// A count; a fraction is cut off, and a number that does not fit becomes the largest one.
pub(super) fn count_or(node: &Node, default: u32) -> Result<u32, KeyError> {
    Ok(truncate_to_u32(number_or(node, f64::from(default))?))
}

/// A time in milliseconds; the default is in microseconds.
pub(super) fn micros_or(node: &Node, default: Micros) -> Result<Micros, KeyError> {
    Ok(node.optional_number()?.map_or(default, micros_from_ms))
}

/// A time in milliseconds as a [`Duration`], with a default in milliseconds too.
pub(super) fn duration_or(node: &Node, default_ms: f64) -> Result<Duration, KeyError> {
    Ok(duration_from_ms(
        node.optional_number()?.unwrap_or(default_ms),
    ))
}

/// Adds a value to a JSON object unless it is what a reader takes an absent key for.
pub(super) fn insert_unless_default<T>(object: &mut Value, key: &str, value: T)
where
    T: Default + PartialEq + Into<Value>,
{
    if value != T::default() {
        object[key] = value.into();
    }
}
