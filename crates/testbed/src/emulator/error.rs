//! Why the emulator cannot play a scenario.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// What could not be set up, started or written.
#[derive(Debug, thiserror::Error)]
pub enum EmulatorError {
    /// The scenario needs more sockets than one machine bears: use fewer servers or sidecars, or
    /// the simulator.
    #[error("{pairs} pairs of server and sidecar are more than {max}")]
    TooManyConnectionPairs {
        /// Servers times sidecars.
        pairs: usize,
        /// What the emulator bears.
        max: usize,
    },
    /// Other processes use all ports that the emulator takes from: end other emulators.
    #[error("no free port on the loopback address")]
    NoFreePort,
    /// An address cannot be listened on.
    #[error("{address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// A folder or configuration cannot be written: check `--folder`.
    #[error("{}: {source}", .path.display())]
    Write {
        /// The folder or file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A sidecar's log cannot be created: check `--folder`.
    #[error("the log of {sidecar}: {source}")]
    CreateLog {
        /// The sidecar's name.
        sidecar: String,
        /// What the system says.
        source: io::Error,
    },
    /// The sidecar's program cannot be started: check `--arrowstand`.
    #[error("{}: {source}", .program.display())]
    Spawn {
        /// The program.
        program: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A sidecar ended before it was ready.
    #[error("{sidecar} ended at its start ({status}): {last_line}")]
    EndedAtStart {
        /// The sidecar's name.
        sidecar: String,
        /// How it ended.
        status: ExitStatus,
        /// The last line of its log.
        last_line: String,
    },
    /// A sidecar runs and does not become ready: its log may say why.
    #[error("{sidecar} was not ready in {limit:?}: {}", .log.display())]
    NotReady {
        /// The sidecar's name.
        sidecar: String,
        /// How long it was waited for.
        limit: Duration,
        /// Its log.
        log: PathBuf,
    },
    /// The asynchronous runtime did not start.
    #[error("the runtime did not start: {0}")]
    Runtime(#[source] io::Error),
    /// Ctrl-C cannot be waited for.
    #[error("{0}")]
    Interrupt(#[source] io::Error),
}
