//! Manages the sidecar processes: configures, starts, restarts and stops them, and reads their
//! counters.
//!
//! This module handles the set of all sidecars. `process` handles one sidecar, `settings` builds
//! its configuration, and `counters` parses the counters that it printed.

mod counters;
mod process;
mod restart;
pub(crate) mod settings;
mod start;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;

use super::Options;
use super::discovery::Discovery;
use super::error::EmulatorError;
use super::ports::allocate_address;
use super::shared::Shared;
use crate::event_log::{LogEvent, ProcessState};
use crate::index::SidecarIndex;
use crate::random::{RandomStream, StreamId};

use process::Sidecar;

pub(super) use counters::CounterTotals;
#[cfg(test)]
pub(super) use counters::Counters;
pub(super) use restart::Termination;

/// Time limit for a sidecar's shutdown at the end of the run; it is killed after that.
const FINAL_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// All sidecars of an emulation.
pub(super) struct Sidecars {
    shared: Arc<Shared>,
    discovery: Arc<Discovery>,
    program: PathBuf,
    folder: PathBuf,
    /// File with the operators' table of machine types, which each sidecar reads at its start.
    machine_types_path: PathBuf,
    sidecars: Vec<Sidecar>,
}

fn write_file(path: PathBuf, text: &str) -> Result<PathBuf, EmulatorError> {
    match std::fs::write(&path, text) {
        Ok(()) => Ok(path),
        Err(source) => Err(EmulatorError::Write { path, source }),
    }
}

/// Returns the folder of configurations and logs; creates it if it is missing.
fn create_folder(options: &Options) -> Result<PathBuf, EmulatorError> {
    let default = || {
        let name = format!("arrowstand-emulator-{}", std::process::id());
        std::env::temp_dir().join(name)
    };
    let path = options.folder.clone().unwrap_or_else(default);
    match std::fs::create_dir_all(&path) {
        Ok(()) => Ok(path),
        Err(source) => Err(EmulatorError::Write { path, source }),
    }
}

fn read_log(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

impl Sidecars {
    /// Reserves an address for each sidecar and writes the table of machine types; starts no
    /// process.
    ///
    /// # Errors
    /// If there is no free port, or the folder cannot be written.
    pub(super) fn new(
        shared: &Arc<Shared>,
        discovery: &Arc<Discovery>,
        options: &Options,
    ) -> Result<Arc<Self>, EmulatorError> {
        let folder = create_folder(options)?;
        let scenario = &shared.scenario;
        let sidecar = |index: SidecarIndex| {
            let seeds = RandomStream::new(scenario.seed, StreamId::Seeds, index.index());
            Ok(Sidecar::new(index, allocate_address()?, seeds))
        };
        let sidecars = SidecarIndex::all(scenario.sidecars.count)
            .map(sidecar)
            .collect::<Result<_, EmulatorError>>()?;
        // Written once for all sidecars: if it were written for each, a starting sidecar could read
        // the file while it is being written for the next one.
        let machine_types = settings::machine_types(scenario).to_string();
        let machine_types_path = write_file(folder.join("machines.json"), &machine_types)?;
        Ok(Arc::new(Self {
            shared: Arc::clone(shared),
            discovery: Arc::clone(discovery),
            program: options.program.clone(),
            folder,
            machine_types_path,
            sidecars,
        }))
    }

    /// The address on which a sidecar listens for clients.
    pub(super) fn address(&self, index: SidecarIndex) -> SocketAddr {
        self.sidecars[index.index()].address
    }

    /// The incarnation of a sidecar's process: incremented when a kill begins and when a graceful
    /// shutdown has ended.
    pub(super) fn incarnation(&self, index: SidecarIndex) -> u32 {
        self.sidecars[index.index()].incarnation()
    }

    /// Waits until no kill of the sidecar is in progress. Without this, a connection that the kill
    /// closed would be taken for one that the sidecar closed itself.
    pub(super) async fn wait_for_kill_in_progress(&self, index: SidecarIndex) {
        self.sidecars[index.index()]
            .wait_for_kill_in_progress()
            .await;
    }

    fn record_state(&self, index: SidecarIndex, state: ProcessState) {
        self.shared.record(LogEvent::SidecarStateChanged {
            sidecar: index,
            state,
        });
    }

    fn enumerate(&self) -> impl Iterator<Item = (SidecarIndex, &Sidecar)> {
        SidecarIndex::all(self.sidecars.len()).zip(&self.sidecars)
    }

    /// Path of the log of a sidecar's present process.
    fn log_path(&self, index: SidecarIndex) -> PathBuf {
        let sidecar = &self.sidecars[index.index()];
        let name = &sidecar.name;
        let incarnation = sidecar.incarnation();
        self.folder.join(format!("{name}-{incarnation}.log"))
    }

    /// Shuts down all sidecars and adds up their counters.
    pub(super) async fn shut_down_all(&self) -> CounterTotals {
        let mut totals = CounterTotals::default();
        for sidecar in &self.sidecars {
            sidecar.signal(Signal::SIGTERM);
        }
        for (index, sidecar) in self.enumerate() {
            let log_path = self.log_path(index);
            sidecar.wait_for_exit(FINAL_SHUTDOWN_TIMEOUT).await;
            let printed = sidecar.add_logged_counters(&read_log(&log_path));
            totals.missing += u32::from(!printed);
            totals.killed += sidecar.kills();
            totals.sum.add(&sidecar.counters());
        }
        totals
    }
}
