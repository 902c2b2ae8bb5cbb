//! The emulator: plays a scenario on loopback sockets, with real `arrowstand` processes between
//! emulated clients, servers and discovery.
//!
//! The emulated servers are the simulator's server models behind HTTP/1.1; arrivals are drawn as in
//! the simulator. What was seen goes into one event log, which is sorted by time and then read as
//! the simulator's is.

mod client;
mod clock;
mod counter_check;
mod discovery;
mod emulated_server;
mod error;
mod fault_schedule;
mod http;
mod lock;
mod ports;
mod recorder;
mod shared;
mod sidecars;
mod timeliness;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::audit::Auditor;
use crate::conversion::u64_from_count;
use crate::event_log::{EventSink, LogRecord, Tee};
use crate::index::ServerIndex;
use crate::report::{EMULATOR, Report};
use crate::scenario::{Scenario, from_ms};
use crate::statistics::Statistics;

use clock::Clock;
use counter_check::Comparison;
use discovery::Discovery;
use emulated_server::EmulatedServer;
use shared::Shared;
use sidecars::Sidecars;

pub use error::EmulatorError;

/// Servers times sidecars that one emulation may have: sockets and descriptors are the bound.
const MAX_CONNECTION_PAIRS: usize = 20_000;
/// Milliseconds from the start of the setup to the begin of the run, however small the fleet; an
/// arrival that is due before the setup has ended is played late.
const SETUP_TIME_MS: u64 = 1_500;
/// Milliseconds on top of it for the start of each sidecar's process.
const SETUP_TIME_PER_SIDECAR_MS: u64 = 30;
/// Milliseconds on top of it for the sockets of each pair of server and sidecar.
const SETUP_TIME_PER_PAIR_MS: u64 = 1;
/// How long after the last arrival's end what is in flight may still come in.
const SETTLING_TIME: Duration = Duration::from_millis(400);
/// Threads of the emulator; the machine's other cores are the sidecars'.
const WORKER_THREADS: usize = 2;

/// What an emulation needs beside its scenario.
#[derive(Clone, Debug)]
pub struct Options {
    /// The sidecar's program.
    pub program: PathBuf,
    /// Folder of configurations and logs; one in the system's temporary folder if absent.
    pub folder: Option<PathBuf>,
}

/// Everything that stands around the sidecars, and the sidecars' processes.
struct Emulation {
    shared: Arc<Shared>,
    servers: Vec<Arc<EmulatedServer>>,
    discovery: Arc<Discovery>,
    sidecars: Arc<Sidecars>,
}

/// What came of an emulation.
struct EmulationResult {
    records: Vec<LogRecord>,
    unreliable: Option<String>,
    counters: Comparison,
}

impl Emulation {
    async fn set_up(scenario: &Scenario, options: &Options) -> Result<Self, EmulatorError> {
        let fleet = scenario.fleet();
        let sidecars = scenario.sidecars.count;
        let pairs = fleet.len() * sidecars;
        if pairs > MAX_CONNECTION_PAIRS {
            return Err(EmulatorError::TooManyConnectionPairs {
                pairs,
                max: MAX_CONNECTION_PAIRS,
            });
        }
        let clock = Clock::starting_in(Duration::from_millis(
            SETUP_TIME_MS
                + SETUP_TIME_PER_SIDECAR_MS * u64_from_count(sidecars)
                + SETUP_TIME_PER_PAIR_MS * u64_from_count(pairs),
        ));
        let shared = Arc::new(Shared::new(scenario, clock));
        let mut servers = Vec::new();
        for (position, (machine_type, group)) in fleet.into_iter().enumerate() {
            let index = ServerIndex::from_position(position);
            servers.push(EmulatedServer::start(&shared, index, machine_type, group).await?);
        }
        let discovery = Discovery::start(&shared, &servers).await?;
        let sidecars = Sidecars::new(&shared, &discovery, options)?;
        Ok(Self {
            shared,
            servers,
            discovery,
            sidecars,
        })
    }

    /// Plays the scenario to its end.
    async fn play(&self) -> Result<EmulationResult, EmulatorError> {
        self.sidecars.start_all().await?;
        let faults = fault_schedule::play(self);
        let load = client::play(self);
        let gauges = emulated_server::record_gauges(self);
        tokio::select! {
            () = async { tokio::join!(faults, load); } => {}
            () = gauges => {}
        }
        tokio::time::sleep(SETTLING_TIME).await;
        let counters = self.sidecars.end_all().await;
        let records = self.shared.recorder.sorted();
        let counters = counter_check::compare(&self.shared, &records, &counters);
        Ok(EmulationResult {
            records,
            unreliable: self.shared.timeliness.unreliable(),
            counters,
        })
    }
}

/// Plays a scenario on sockets and sums it up; `further` receives the event log too.
///
/// # Errors
/// What could not be set up or started.
pub fn run(
    scenario: &Scenario,
    options: &Options,
    further: Option<&mut dyn EventSink>,
) -> Result<Report, EmulatorError> {
    let result = runtime()?.block_on(async {
        let emulation = Emulation::set_up(scenario, options).await?;
        emulation.play().await
    })?;
    Ok(report(scenario, result, further))
}

fn report(
    scenario: &Scenario,
    result: EmulationResult,
    further: Option<&mut dyn EventSink>,
) -> Report {
    let extra = from_ms(scenario.rules.emulator_extra_ms);
    let mut auditor = Auditor::new(scenario, extra);
    let mut statistics = Statistics::new(scenario);
    let mut readers = Tee {
        first: &mut auditor,
        second: &mut statistics,
        further,
    };
    result.records.iter().for_each(|r| readers.record(r));
    auditor.finish();
    let mut report = statistics.report(EMULATOR, scenario.seed);
    report.add_audit(&auditor);
    report.check_expectations(&scenario.expect);
    report.unreliable = result.unreliable;
    report.counter_differences = result.counters.differences;
    report.remarks = result.counters.remarks;
    report
}

/// Runs the emulated servers, for a person to try a sidecar by hand, until the program is
/// interrupted. `on_ready` gets the commands that start the sidecars.
///
/// # Errors
/// What could not be set up.
pub fn serve(
    scenario: &Scenario,
    options: &Options,
    on_ready: impl FnOnce(String),
) -> Result<(), EmulatorError> {
    runtime()?.block_on(async {
        let emulation = Emulation::set_up(scenario, options).await?;
        on_ready(emulation.sidecars.commands()?);
        tokio::select! {
            () = fault_schedule::play_for_ever(&emulation) => {}
            interrupted = tokio::signal::ctrl_c() => {
                interrupted.map_err(EmulatorError::Interrupt)?;
            }
        }
        Ok(())
    })
}

fn runtime() -> Result<tokio::runtime::Runtime, EmulatorError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(EmulatorError::Runtime)
}
