//! Why the sidecar does not start, as one line for the operator and an exit code.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use arrowstand_balancer::SettingsError;

use crate::config::ConfigError;

/// What the exit code says of a configuration that cannot be used; any other failure is 1.
const INVALID_CONFIGURATION: u8 = 2;

/// Why the sidecar does not start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartupError {
    /// The asynchronous runtime cannot be made.
    #[error("the runtime did not start: {0}")]
    Runtime(#[source] io::Error),
    /// A signal cannot be listened for.
    #[error("{name}: {source}")]
    Signal {
        /// The signal's name.
        name: &'static str,
        /// What the operating system says.
        source: io::Error,
    },
    /// The environment or the configuration file cannot be used; the message names the variable or
    /// the key.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The balancer does not take its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The address for clients cannot be listened on.
    #[error("NODE_LISTEN: {address}: {source}")]
    Listen {
        /// The address of the configuration.
        address: SocketAddr,
        /// What the operating system says.
        source: io::Error,
    },
}

impl StartupError {
    /// What the process exits with.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Configuration(_) => ExitCode::from(INVALID_CONFIGURATION),
            Self::Runtime(_) | Self::Signal { .. } | Self::Settings(_) | Self::Listen { .. } => {
                ExitCode::FAILURE
            }
        }
    }
}

#[cfg(test)]
mod tests;
