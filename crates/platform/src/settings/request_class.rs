//! Reader and writer of a request class in the settings.

use arrowstand_balancer::{DeduplicationScope, Idempotency, RequestClass};
use serde_json::{Value, json};

use super::values::{insert_unless_default, number_or};
use crate::error::{KeyError, KeyProblem};
use crate::json::Node;
use crate::keys::request_class as keys;
use crate::units::{micros_from_ms, ms_from_micros};

/// The settings value for [`Idempotency::Idempotent`].
const IDEMPOTENT: &str = "pure";
/// The settings value for [`Idempotency::IdempotencyKey`].
const IDEMPOTENCY_KEY: &str = "token";
/// The settings value for [`Idempotency::NonIdempotent`].
const NON_IDEMPOTENT: &str = "side_effect";

/// The settings value for [`DeduplicationScope::All`], which is the default.
const ALL_SERVERS: &str = "all";
/// The settings value for [`DeduplicationScope::Zone`].
const SAME_ZONE: &str = "zone";
/// The settings value for [`DeduplicationScope::Cell`].
const SAME_CELL: &str = "cell";

/// Reads a class without its name. Whether its responses are streamed is read by
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
    match node.string()?.as_str() {
        IDEMPOTENT => Ok(Idempotency::Idempotent),
        IDEMPOTENCY_KEY => Ok(Idempotency::IdempotencyKey),
        NON_IDEMPOTENT => Ok(Idempotency::NonIdempotent),
        other => Err(node.error(KeyProblem::UnknownValue(other.to_owned()))),
    }
}

fn read_deduplication_scope(node: &Node) -> Result<DeduplicationScope, KeyError> {
    match node.optional_string()?.as_deref() {
        None | Some(ALL_SERVERS) => Ok(DeduplicationScope::All),
        Some(SAME_ZONE) => Ok(DeduplicationScope::Zone),
        Some(SAME_CELL) => Ok(DeduplicationScope::Cell),
        Some(other) => Err(node.error(KeyProblem::UnknownValue(other.to_owned()))),
    }
}

/// Writes a class and its name; `streamed` comes from
/// [`SimulatorFeatures`](super::SimulatorFeatures).
pub(super) fn write_request_class(name: &str, class: &RequestClass, streamed: bool) -> Value {
    let mut object = json!({
        keys::NAME: name,
        keys::IDEMPOTENCY: idempotency_name(class.idempotency),
        keys::DEDUPLICATION_SCOPE: deduplication_scope_name(class.deduplication_scope),
        keys::DEDUPLICATION_WINDOW_MS: ms_from_micros(class.deduplication_window),
        keys::PRIORITY_WEIGHT: class.priority_weight,
        keys::LATE_VALUE: class.late_value,
        keys::LATENCY_OBJECTIVE_MS: ms_from_micros(class.latency_objective),
        keys::DEADLINE_MS: ms_from_micros(class.deadline),
        keys::STREAMED: streamed,
    });
    insert_unless_default(
        &mut object,
        keys::OBJECTIVE_PER_WORK,
        class.objective_per_work,
    );
    object
}

fn idempotency_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => IDEMPOTENT,
        Idempotency::IdempotencyKey => IDEMPOTENCY_KEY,
        Idempotency::NonIdempotent => NON_IDEMPOTENT,
    }
}

fn deduplication_scope_name(scope: DeduplicationScope) -> &'static str {
    match scope {
        DeduplicationScope::All => ALL_SERVERS,
        DeduplicationScope::Zone => SAME_ZONE,
        DeduplicationScope::Cell => SAME_CELL,
    }
}
