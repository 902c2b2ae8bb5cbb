//! The sidecars: real processes that are configured, started, restarted, ended and asked for their
//! counters.
//!
//! This file owns the fleet; `process` one sidecar, `settings` its configuration, `counters` what
//! it printed.

mod counters;
mod process;
mod restart;
mod settings;
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

#[cfg(test)]
pub(super) use counters::Counters;
pub(super) use counters::FleetCounters;
pub(super) use restart::Termination;

/// How long a sidecar may take to end with the run; it is killed after that.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(10);

/// All sidecars.
pub(super) struct Sidecars {
    shared: Arc<Shared>,
    discovery: Arc<Discovery>,
    program: PathBuf,
    folder: PathBuf,
    /// The operators' table of machine types, read by each sidecar that starts.
    machine_types: PathBuf,
    sidecars: Vec<Sidecar>,
}

fn write(path: PathBuf, text: &str) -> Result<PathBuf, EmulatorError> {
    match std::fs::write(&path, text) {
        Ok(()) => Ok(path),
        Err(source) => Err(EmulatorError::Write { path, source }),
    }
}

/// The folder of configurations and logs, which is created if it is missing.
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
    /// Sidecars that are not started yet.
    ///
    /// # Errors
    /// Where an address is missing, or the folder cannot be written.
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
        // Written once for all: a sidecar that starts could otherwise read the file while it is
        // being written for the next one.
        let machine_types = settings::machine_types(scenario).to_string();
        let machine_types = write(folder.join("machines.json"), &machine_types)?;
        Ok(Arc::new(Self {
            shared: Arc::clone(shared),
            discovery: Arc::clone(discovery),
            program: options.program.clone(),
            folder,
            machine_types,
            sidecars,
        }))
    }

    /// Where a sidecar listens for clients.
    pub(super) fn address(&self, index: SidecarIndex) -> SocketAddr {
        self.sidecars[index.index()].address
    }

    /// A number that rises as a sidecar's process begins to end.
    pub(super) fn incarnation(&self, index: SidecarIndex) -> u32 {
        self.sidecars[index.index()].incarnation()
    }

    /// Waits until a sidecar that is being killed is recorded as gone: what it closed was lost by
    /// the kill.
    pub(super) async fn wait_until_killed(&self, index: SidecarIndex) {
        self.sidecars[index.index()].wait_until_killed().await;
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

    /// The log of a sidecar's present process.
    fn log(&self, index: SidecarIndex) -> PathBuf {
        let sidecar = &self.sidecars[index.index()];
        let name = &sidecar.name;
        let incarnation = sidecar.incarnation();
        self.folder.join(format!("{name}-{incarnation}.log"))
    }

    /// Ends all, and adds up their counters.
    pub(super) async fn end_all(&self) -> FleetCounters {
        let mut fleet = FleetCounters::default();
        for sidecar in &self.sidecars {
            sidecar.signal(Signal::SIGTERM);
        }
        for (index, sidecar) in self.enumerate() {
            let log = self.log(index);
            sidecar.wait(SHUTDOWN_LIMIT).await;
            let printed = sidecar.add_counters_of(&read_log(&log));
            fleet.missing += u32::from(!printed);
            fleet.killed += sidecar.kills();
            fleet.sum.add(&sidecar.counters());
        }
        fleet
    }
}
