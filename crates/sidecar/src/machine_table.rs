//! Reads the operator's table of machine types, which supplies their capacity: the platform gives
//! only the names of the types.
//!
//! This module defines the file format and its errors; [`MachineCatalogue`] stores the types.

use std::io;

use arrowstand_control::MachineCatalogue;
use arrowstand_platform::json::{self, Node};
use arrowstand_platform::{KeyError, KeyProblem, ReadError};
use thiserror::Error;

/// Exclusive upper bound for cores and speed; a larger value is assumed to be a typing error.
const CAPACITY_BOUND: f64 = 10_000.0;
/// Maximum nesting depth of the JSON, which is parsed recursively.
const MAX_JSON_DEPTH: usize = 8;

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

/// Loads the machine table from a file.
///
/// # Errors
/// If the file cannot be read or does not contain a valid machine table.
pub(crate) fn load(path: &str) -> Result<MachineCatalogue, MachineTableError> {
    let text = std::fs::read_to_string(path).map_err(|source| MachineTableError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse(&text).map_err(|source| MachineTableError::Invalid {
        path: path.to_owned(),
        source,
    })
}

/// Parses `{"machines": [{"model": "fast-2", "cores": 2, "speed": 1.3}, ...]}`.
fn parse(text: &str) -> Result<MachineCatalogue, ReadError> {
    let value = json::parse(text, MAX_JSON_DEPTH)?;
    let machines = Node::root(&value).at("machines");
    // Without this check, a table with its only key misspelt would count as an empty table.
    if !machines.is_present() {
        return Err(machines.error(KeyProblem::Missing).into());
    }
    let mut entries: Vec<(String, f64, f64)> = Vec::new();
    for entry in machines.items()? {
        let model_node = entry.at("model");
        let model = model_node.string()?;
        let cores = read_capacity(&entry.at("cores"))?;
        let speed = read_capacity(&entry.at("speed"))?;
        if model.is_empty() || entries.iter().any(|(name, ..)| *name == model) {
            return Err(model_node
                .error(KeyProblem::EmptyOrDuplicateName(model))
                .into());
        }
        entries.push((model, cores, speed));
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
