//! arrowstand, the sidecar: starts the parts, follows the signals and gives the exit code.
#![forbid(unsafe_code)]

mod config;
mod counters;
mod discovery;
mod downstream;
mod host;
mod limits;
mod logging;
mod machine_table;
mod message;
mod proxy;
mod shutdown;
mod signals;
mod startup;
mod startup_error;
mod units;
mod upstream;

use std::process::ExitCode;

use crate::config::Config;
use crate::signals::{SignalEvent, Signals};
use crate::startup::Sidecar;
use crate::startup_error::StartupError;

fn main() -> ExitCode {
    logging::init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("arrowstand: {error}");
            error.exit_code()
        }
    }
}

/// Runs the sidecar on this thread, from its start to its end.
fn run() -> Result<(), StartupError> {
    let runtime = actix_rt::Runtime::new().map_err(StartupError::Runtime)?;
    runtime.block_on(serve())
}

/// Serves until SIGTERM or SIGINT; SIGHUP reloads the configuration. Signals are listened for
/// before anything is read and followed once the sidecar serves: by default a SIGHUP during the
/// start, for a new configuration, would end the process.
async fn serve() -> Result<(), StartupError> {
    let mut signals = Signals::install()?;
    let config = Config::from_environment()?;
    let sidecar = Sidecar::start(config).await?;
    loop {
        match signals.next().await {
            SignalEvent::Stop => break,
            SignalEvent::Reload => sidecar.reload(),
        }
    }
    sidecar.shut_down().await;
    Ok(())
}
