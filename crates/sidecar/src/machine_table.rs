//! The operator's table of machine types: the platform names the types and does not state their
//! capacity.
//!
//! Owns the table's format and its errors; the types themselves are kept by [`MachineCatalogue`].

use std::io;

use arrowstand_control::MachineCatalogue;
use arrowstand_platform::json::{self, Node};
use arrowstand_platform::{KeyError, KeyProblem, ReadError};
use thiserror::Error;

/// Cores or speed of this much are taken for a typing error.
const CAPACITY_BOUND: f64 = 10_000.0;
/// Bound on the nesting of the table's JSON, which is read recursively.
const MAX_JSON_DEPTH: usize = 8;

/// A machine table that cannot be used. The message is one line that names file, entry and key.
#[derive(Debug, Error)]
pub(crate) enum MachineTableError {
    /// The file cannot be read.
    #[error("ARROWSTAND_MACHINES: {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// The file is no machine table.
    #[error("ARROWSTAND_MACHINES: {path}: {source}")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong with its text.
        source: ReadError,
    },
}

/// Reads the file of that name.
///
/// # Errors
/// The file cannot be read, or is no machine table.
pub(crate) fn load(path: &str) -> Result<MachineCatalogue, MachineTableError> {
    let text = std::fs::read_to_string(path).map_err(|source| MachineTableError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    read(&text).map_err(|source| MachineTableError::Invalid {
        path: path.to_owned(),
        source,
    })
}

/// Reads `{"machines": [{"model": "fast-2", "cores": 2, "speed": 1.3}, ...]}`.
fn read(text: &str) -> Result<MachineCatalogue, ReadError> {
    let value = json::parse(text, MAX_JSON_DEPTH)?;
    let machines = Node::root(&value).at("machines");
    // With its one key misspelt a table would pass for one without machines.
    if !machines.is_present() {
        return Err(machines.error(KeyProblem::Missing).into());
    }
    let mut table: Vec<(String, f64, f64)> = Vec::new();
    for entry in machines.items()? {
        let model_node = entry.at("model");
        let model = model_node.string()?;
        let cores = read_capacity(&entry.at("cores"))?;
        let speed = read_capacity(&entry.at("speed"))?;
        if model.is_empty() || table.iter().any(|(name, ..)| *name == model) {
            return Err(model_node
                .error(KeyProblem::EmptyOrDuplicateName(model))
                .into());
        }
        table.push((model, cores, speed));
    }
    Ok(MachineCatalogue::from_table(table))
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
