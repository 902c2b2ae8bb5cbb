//! One request class of the settings.

use arrowstand_balancer::{DeduplicationScope, Idempotency, RequestClass};

use super::values::number_or;
use crate::error::{KeyError, KeyProblem};
use crate::json::Node;
use crate::keys::request_class as keys;
use crate::units::micros_from_ms;

/// Reads all of a class but its name. Whether its responses are streamed is left to
/// [`SimulatorFeatures`](super::SimulatorFeatures).
pub(super) fn read_request_class(node: &Node) -> Result<RequestClass, KeyError> {
    let idempotency = read_idempotency(&node.at(keys::IDEMPOTENCY))?;
    let deduplication_scope = read_deduplication_scope(&node.at(keys::DEDUPLICATION_SCOPE))?;
    Ok(RequestClass {
        priority_weight: number_or(&node.at(keys::PRIORITY_WEIGHT), 1.0)?,
        late_value: number_or(&node.at(keys::LATE_VALUE), 0.0)?,
        objective_per_work: number_or(&node.at(keys::OBJECTIVE_PER_WORK), 0.0)?,
        deduplication_scope,
        deduplication_window: micros_from_ms(number_or(
            &node.at(keys::DEDUPLICATION_WINDOW_MS),
            0.0,
        )?),
        streamed: false,
        ..RequestClass::new(
            idempotency,
            micros_from_ms(node.at(keys::LATENCY_OBJECTIVE_MS).number()?),
            micros_from_ms(node.at(keys::DEADLINE_MS).number()?),
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
