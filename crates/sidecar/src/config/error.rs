//! Errors of reading the configuration.

use std::io;

use arrowstand_balancer::SettingsError;
use arrowstand_platform::{JsonError, KeyError};
use thiserror::Error;

use crate::machine_table::MachineTableError;

/// Why the configuration is invalid. The message is one line that names the variable or the key.
#[derive(Debug, Error)]
pub(crate) enum ConfigError {
    /// `NODE_CONFIG` is not set.
    #[error("NODE_CONFIG: is not set; set it to the path of the JSON configuration file")]
    PathNotSet,
    /// The file cannot be read.
    #[error("NODE_CONFIG: cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not valid JSON.
    #[error("NODE_CONFIG: not JSON: {0}")]
    InvalidJson(#[source] JsonError),
    /// A key is missing or has an invalid value.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The balancer rejects a setting.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The operator's machine table is invalid.
    #[error(transparent)]
    MachineTable(#[from] MachineTableError),
    /// The value of a variable or a key is not a socket address.
    #[error("{name}: {text:?} is not an address and port")]
    InvalidAddress {
        /// Name of the variable or path of the key.
        name: String,
        /// The invalid value.
        text: String,
    },
}
