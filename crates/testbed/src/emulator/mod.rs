//! The emulator: runs a scenario on loopback sockets, with real `arrowstand` processes between
//! emulated clients, servers and discovery.
//!
//! The emulated servers have the simulator's server models behind HTTP/1.1, and arrivals are drawn
//! as in the simulator. All parts record into one event log, which is sorted by time after the run
//! and evaluated like that of the simulator.

mod client;
mod clock;
mod counter_check;
mod discovery;
mod emulated_server;
mod error;
mod fault_schedule;
pub(crate) mod http;
mod lock;
pub(crate) mod ports;
mod recorder;
mod schedule_lag;
mod shared;
mod sidecars;

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
pub(crate) use lock::lock;
pub(crate) use sidecars::settings as sidecar_settings;

/// Maximum of servers times sidecars in one emulation, bounded by sockets and file descriptors.
const MAX_CONNECTION_PAIRS: usize = 20_000;
/// Time from the beginning of the setup to the start of the run with an empty fleet, in
/// milliseconds. An arrival that is due before the setup has finished starts late.
const SETUP_TIME_MS: u64 = 1_500;
/// Additional time for the start of each sidecar process, in milliseconds.
const SETUP_TIME_PER_SIDECAR_MS: u64 = 30;
/// Additional time for the sockets of each pair of server and sidecar, in milliseconds.
const SETUP_TIME_PER_PAIR_MS: u64 = 1;
/// Time between the end of the last arrival or fault and the shutdown of the sidecars, in which
/// outstanding messages arrive.
const SETTLING_TIME: Duration = Duration::from_millis(400);
/// Worker threads of the emulator; the other cores are left to the sidecars.
const WORKER_THREADS: usize = 2;

/// Options of an emulation, in addition to the scenario.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the sidecar's executable.
    pub program: PathBuf,
    /// Folder for configurations and logs; by default one in the system's temporary folder.
    pub folder: Option<PathBuf>,
}

/// The parts of a running emulation: emulated servers, discovery and the sidecar processes.
struct Emulation {
    shared: Arc<Shared>,
    servers: Vec<Arc<EmulatedServer>>,
    discovery: Arc<Discovery>,
    sidecars: Arc<Sidecars>,
}

/// The result of an emulation.
struct EmulationResult {
    records: Vec<LogRecord>,
    unreliable: Option<String>,
    comparison: Comparison,
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

    /// Runs the scenario until its arrivals and faults have ended, and shuts the sidecars down.
    async fn run(&self) -> Result<EmulationResult, EmulatorError> {
        self.sidecars.start_all().await?;
        let faults = fault_schedule::run(self);
        let arrivals = client::run(self);
        let gauges = emulated_server::record_gauges(self);
        tokio::select! {
            () = async { tokio::join!(faults, arrivals); } => {}
            () = gauges => {}
        }
        tokio::time::sleep(SETTLING_TIME).await;
        let counters = self.sidecars.shut_down_all().await;
        let records = self.shared.recorder.sorted_records();
        let comparison = counter_check::compare(&self.shared, &records, &counters);
        Ok(EmulationResult {
            records,
            unreliable: self.shared.schedule_lag.unreliable_reason(),
            comparison,
        })
    }
}

/// Runs a scenario on sockets and reports its results; `extra_log` receives the event log too.
///
/// # Errors
/// If the emulation cannot be set up, or a sidecar cannot be started.
pub fn run(
    scenario: &Scenario,
    options: &Options,
    extra_log: Option<&mut dyn EventSink>,
) -> Result<Report, EmulatorError> {
    let result = runtime()?.block_on(async {
        let emulation = Emulation::set_up(scenario, options).await?;
        emulation.run().await
    })?;
    Ok(build_report(scenario, result, extra_log))
}

fn build_report(
    scenario: &Scenario,
    result: EmulationResult,
    extra_log: Option<&mut dyn EventSink>,
) -> Report {
    let extra_time = from_ms(scenario.rules.emulator_extra_ms);
    let mut auditor = Auditor::new(scenario, extra_time);
    let mut statistics = Statistics::new(scenario);
    let mut readers = Tee {
        first: &mut auditor,
        second: &mut statistics,
        third: extra_log,
    };
    result
        .records
        .iter()
        .for_each(|record| readers.record(record));
    auditor.finish();
    let mut report = statistics.report(EMULATOR, scenario.seed);
    report.add_audit(&auditor);
    report.check_expectations(&scenario.expect);
    report.unreliable = result.unreliable;
    report.counter_differences = result.comparison.differences;
    report.remarks = result.comparison.remarks;
    report
}

/// Runs the emulated servers and discovery until the program is interrupted, so that a sidecar can
/// be tried by hand. `on_ready` receives the commands that start the sidecars.
///
/// # Errors
/// If the emulation cannot be set up.
pub fn serve(
    scenario: &Scenario,
    options: &Options,
    on_ready: impl FnOnce(String),
) -> Result<(), EmulatorError> {
    runtime()?.block_on(async {
        let emulation = Emulation::set_up(scenario, options).await?;
        on_ready(emulation.sidecars.start_commands()?);
        tokio::select! {
            () = fault_schedule::run_forever(&emulation) => {}
            interrupted = tokio::signal::ctrl_c() => {
                interrupted.map_err(EmulatorError::Interrupt)?;
            }
        }
        Ok(())
    })
}

pub(crate) fn runtime() -> Result<tokio::runtime::Runtime, EmulatorError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(EmulatorError::Runtime)
}
