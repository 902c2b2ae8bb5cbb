//! Reads the operator's table of machine types, which supplies their capacity: the platform gives
//! only the names of the types.
//!
//! This module defines the file format and its errors; [`MachineCatalogue`] stores the types.

use std::collections::HashSet;
use std::io;

use arrowstand_control::MachineCatalogue;
use arrowstand_platform::json::{Node, StepwiseParser};
use arrowstand_platform::{KeyError, KeyProblem, ReadError};
use thiserror::Error;

use crate::steps::{WorkBudget, run_in_steps};

/// Exclusive upper bound for cores and speed; a larger value is assumed to be a typing error.
const CAPACITY_BOUND: f64 = 10_000.0;
/// Maximum nesting depth of the JSON, which is parsed recursively.
const MAX_JSON_DEPTH: usize = 8;
/// Work for reading an entry, as bytes of a [`WorkBudget`].
const ENTRY_COST_BYTES: usize = 128;

/// Why the machine table is invalid. The message is one line that names the file, the entry and the
/// key.
#[derive(Debug, Error)]
pub(crate) enum MachineTableError {
    /// The file cannot be read.
    #[error("ARROWSTAND_MACHINES: cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file does not contain a valid machine table.
    #[error("ARROWSTAND_MACHINES: {path}: {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// The first error in its content.
        source: ReadError,
    },
}

/// Loads the machine table from a file, in steps between which other tasks run.
///
/// # Errors
/// If the file cannot be read or does not contain a valid machine table.
pub(crate) async fn load(path: &str) -> Result<MachineCatalogue, MachineTableError> {
    let text = std::fs::read_to_string(path).map_err(|source| MachineTableError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    let table = parse(&text).await;
    table.map_err(|source| MachineTableError::Invalid {
        path: path.to_owned(),
        source,
    })
}

/// Parses `{"machines": [{"model": "fast-2", "cores": 2, "speed": 1.3}, ...]}`.
async fn parse(text: &str) -> Result<MachineCatalogue, ReadError> {
    let mut parser = StepwiseParser::new(text, MAX_JSON_DEPTH);
    let value = run_in_steps(|| parser.step()).await?;
    let machines = Node::root(&value).at("machines");
    // Without this check, a table with its only key misspelt would count as an empty table.
    if !machines.is_present() {
        return Err(machines.error(KeyProblem::Missing).into());
    }
    let mut entries: Vec<(String, f64, f64)> = Vec::new();
    let mut models = HashSet::new();
    let mut budget = WorkBudget::default();
    for entry in machines.items()? {
        let model_node = entry.at("model");
        let model = model_node.string()?;
        let cores = read_capacity(&entry.at("cores"))?;
        let speed = read_capacity(&entry.at("speed"))?;
        if model.is_empty() || !models.insert(model.clone()) {
            return Err(model_node
                .error(KeyProblem::EmptyOrDuplicateName(model))
                .into());
        }
        entries.push((model, cores, speed));
        budget.charge(ENTRY_COST_BYTES);
        budget.yield_if_spent().await;
    }
    Ok(MachineCatalogue::from_table(entries))
}

fn read_capacity(node: &Node) -> Result<f64, KeyError> {
    let number = node.number()?;
    if number > 0.0 && number < CAPACITY_BOUND {
        Ok(number)
    } else {
        let bound = CAPACITY_BOUND;
        Err(node.error(KeyProblem::OutOfRange { bound }))
    }
}

#[cfg(test)]
mod tests;
