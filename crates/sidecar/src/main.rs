//! The arrowstand sidecar: starts the components, handles signals and sets the exit code.
#![forbid(unsafe_code)]

mod chunked_body;
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
mod steps;
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

/// Runs the sidecar on the current thread until it has shut down.
fn run() -> Result<(), StartupError> {
    let runtime = actix_rt::Runtime::new().map_err(StartupError::Runtime)?;
    runtime.block_on(serve())
}

/// Serves until SIGTERM or SIGINT; SIGHUP reloads the configuration. The signal handlers are
/// installed before the configuration is read, because the default action of a SIGHUP that arrives
/// during startup is to terminate the process. Such a SIGHUP is handled once the sidecar serves. A
/// stop during startup ends the process before it accepts a connection, because the shutdown would
/// count from the end of the startup, and SIGKILL counts from the signal. A stop does not wait for
/// the end of a reload, which takes longer the busier the process is.
async fn serve() -> Result<(), StartupError> {
    let mut signals = Signals::install()?;
    let config = Config::from_environment().await?;
    if signals.is_stop_requested().await {
        tracing::info!("stopped during startup");
        return Ok(());
    }
    let sidecar = Sidecar::start(config)?;
    loop {
        match signals.next().await {
            SignalEvent::Stop => break,
            SignalEvent::Reload => tokio::select! {
                biased;
                () = signals.stop_requested() => break,
                () = sidecar.reload() => {}
            },
        }
    }
    sidecar.shut_down().await;
    Ok(())
}
