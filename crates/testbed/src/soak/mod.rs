//! The soak: one real sidecar process with the smallest limits, between usual clients, crowds of
//! clients that hold what they can, and signals in series.
//!
//! `plan` draws a run from its seed, `usual_clients` and `crowd` send the requests, `job_server`
//! and `discovery` are the sidecar's other peers, `process` starts, signals and measures the
//! sidecar, `record` keeps what happened and `audit` evaluates it.

mod audit;
mod crowd;
mod discovery;
mod exchange;
mod job_server;
mod plan;
mod process;
mod record;
mod report;
mod request;
mod usual_clients;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::emulator::{self, EmulatorError};

use discovery::Discovery;
use process::Sidecar;
use record::Record;
use usual_clients::UsualClients;

pub use audit::Finding;
pub use plan::{CrowdKind, CrowdPlan, Plan, PlannedSignal, SignalAction};
pub use report::SoakReport;

/// Time after the end of the load in which the last requests are answered.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// Where the sidecar's program is, and where its files go.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Path of the sidecar's executable.
    pub program: PathBuf,
    /// Folder for the configuration and the logs.
    pub folder: PathBuf,
}

/// Plays one run and evaluates it.
///
/// # Errors
/// If a socket cannot be opened, a file cannot be written or the sidecar cannot be started.
pub fn run(plan: &Plan, options: &SoakOptions) -> Result<SoakReport, EmulatorError> {
    let folder = &options.folder;
    std::fs::create_dir_all(folder).map_err(|source| EmulatorError::Write {
        path: folder.clone(),
        source,
    })?;
    emulator::runtime()?.block_on(play(plan, options))
}

async fn play(plan: &Plan, options: &SoakOptions) -> Result<SoakReport, EmulatorError> {
    let record = Arc::new(Record::new());
    let servers = job_server::start_all(plan, &record).await?;
    let discovery = Discovery::start(plan, &servers).await?;
    let sidecar = Sidecar::start(plan, options, discovery, &record).await?;
    let sampling = tokio::spawn(Arc::clone(&sidecar).sample());
    let usual = UsualClients::start(plan, &sidecar, &record);
    let crowd = crowd::start(plan, &sidecar, &record);
    sidecar.play_signals(&plan.signals, plan.duration).await?;
    usual.stop_sending();
    crowd.abort();
    tokio::time::sleep(SETTLING_TIME).await;
    usual.finish().await;
    sidecar.finish().await;
    sampling.abort();
    Ok(SoakReport::new(plan, &record, &sidecar.usage()))
}
