//! Errors of the emulator.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// Why the emulator could not set up or run a scenario.
#[derive(Debug, thiserror::Error)]
pub enum EmulatorError {
    /// The scenario needs more sockets than one machine supports: use fewer servers or sidecars,
    /// or the simulator.
    #[error("{pairs} pairs of server and sidecar exceed the limit of {max}")]
    TooManyConnectionPairs {
        /// Number of servers times number of sidecars.
        pairs: usize,
        /// The emulator's limit.
        max: usize,
    },
    /// All ports of the emulator's range are in use: stop other emulators.
    #[error("no free port on the loopback address")]
    NoFreePort,
    /// The emulator cannot listen on an address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A folder or configuration cannot be written: check `--folder`.
    #[error("{}: {source}", .path.display())]
    Write {
        /// The folder or file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A sidecar's log cannot be created: check `--folder`.
    #[error("cannot create the log of {sidecar}: {source}")]
    CreateLog {
        /// The sidecar's name.
        sidecar: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The sidecar's program cannot be executed: check `--arrowstand`.
    #[error("{}: {source}", .program.display())]
    Spawn {
        /// The program.
        program: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A sidecar exited before it was ready.
    #[error("{sidecar} exited during startup ({status}): {last_line}")]
    ExitedAtStart {
        /// The sidecar's name.
        sidecar: String,
        /// Its exit status.
        status: ExitStatus,
        /// The last line of its log.
        last_line: String,
    },
    /// A sidecar runs but did not become ready in time: check its log.
    #[error("{sidecar} was not ready within {limit:?}; see {}", .log.display())]
    NotReady {
        /// The sidecar's name.
        sidecar: String,
        /// How long the emulator waited.
        limit: Duration,
        /// The path of its log.
        log: PathBuf,
    },
    /// The asynchronous runtime did not start.
    #[error("cannot start the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The signal handler for Ctrl-C cannot be installed.
    #[error("cannot wait for Ctrl-C: {0}")]
    Interrupt(#[source] io::Error),
}
