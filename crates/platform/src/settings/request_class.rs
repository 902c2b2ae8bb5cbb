//! One request class of the settings.

use arrowstand_balancer::{DeduplicationScope, Idempotency, RequestClass};

use super::values::number_or;
use crate::error::{KeyError, KeyProblem};
use crate::json::Node;
use crate::units::micros_from_ms;

/// Reads all of a class but its name. Whether its responses are streamed is left to
/// [`SimulatorFeatures`](super::SimulatorFeatures).
pub(super) fn read_request_class(node: &Node) -> Result<RequestClass, KeyError> {
    let idempotency = read_idempotency(&node.at("semantics"))?;
    let deduplication_scope = read_deduplication_scope(&node.at("dedup-scope"))?;
    Ok(RequestClass {
        priority_weight: number_or(&node.at("importance"), 1.0)?,
        late_value: number_or(&node.at("late-value"), 0.0)?,
        objective_per_work: number_or(&node.at("aim-stretch"), 0.0)?,
        deduplication_scope,
        deduplication_window: micros_from_ms(number_or(&node.at("window-ms"), 0.0)?),
        streamed: false,
        ..RequestClass::new(
            idempotency,
            micros_from_ms(node.at("objective-ms").number()?),
            micros_from_ms(node.at("deadline-ms").number()?),
        )
    })
}

fn read_idempotency(node: &Node) -> Result<Idempotency, KeyError> {
    match node.text()?.as_str() {
        "pure" => Ok(Idempotency::Idempotent),
        "token" => Ok(Idempotency::IdempotencyKey),
        "side_effect" => Ok(Idempotency::NonIdempotent),
        other => Err(node.error(KeyProblem::UnknownValue(other.to_owned()))),
    }
}

fn read_deduplication_scope(node: &Node) -> Result<DeduplicationScope, KeyError> {
    match node.optional_text()?.as_deref() {
        None | Some("all") => Ok(DeduplicationScope::All),
        Some("zone") => Ok(DeduplicationScope::Zone),
        Some("cell") => Ok(DeduplicationScope::Cell),
        Some(other) => Err(node.error(KeyProblem::UnknownValue(other.to_owned()))),
    }
}
