//! Why a configuration cannot be used.

use std::io;

use arrowstand_balancer::SettingsError;
use arrowstand_platform::{JsonError, KeyError};
use thiserror::Error;

use crate::machine_table::MachineTableError;

/// A configuration that this sidecar cannot start with. The message is one line that names the
/// variable or the key.
#[derive(Debug, Error)]
pub(crate) enum ConfigError {
    /// No file is named.
    #[error("NODE_CONFIG: is not set; it names the JSON file")]
    NoFile,
    /// The file cannot be read.
    #[error("NODE_CONFIG: {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("NODE_CONFIG: not JSON: {0}")]
    NotJson(#[source] JsonError),
    /// The value of a key cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// A setting of the balancer is out of range.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The operator's machine table cannot be used.
    #[error(transparent)]
    Machines(#[from] MachineTableError),
    /// A variable or a key is not a socket address.
    #[error("{name}: {text:?} is not an address and port")]
    Address {
        /// The variable, or the path of the key.
        name: String,
        /// Its value.
        text: String,
    },
}
