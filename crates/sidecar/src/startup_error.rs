//! Errors that prevent the sidecar from starting: a one-line message and the exit code.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use arrowstand_balancer::SettingsError;

use crate::config::ConfigError;

/// Exit code for an invalid configuration. Any other failure exits with 1.
const INVALID_CONFIGURATION_EXIT_CODE: u8 = 2;

/// Why the sidecar does not start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartupError {
    /// The asynchronous runtime cannot be created.
    #[error("cannot start the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error("cannot install a handler for {name}: {source}")]
    Signal {
        /// Name of the signal.
        name: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The environment or the configuration file is invalid. The message names the variable or the
    /// key.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The balancer rejects its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The listening socket for clients cannot be opened.
    #[error("NODE_LISTEN: cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl StartupError {
    /// Exit code of the process for this error.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Configuration(_) => ExitCode::from(INVALID_CONFIGURATION_EXIT_CODE),
            Self::Runtime(_) | Self::Signal { .. } | Self::Settings(_) | Self::Listen { .. } => {
                ExitCode::FAILURE
            }
        }
    }
}

#[cfg(test)]
mod tests;
