//! Subcommands, arguments and flags, as clap types. Names of earlier versions are hidden aliases.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};

use super::error::CliError;
use crate::emulator;
use crate::soak::{CrowdKind, Plan};

/// File name of the sidecar program, which is expected in the folder of this program by default.
const SIDECAR_PROGRAM: &str = "arrowstand";

/// Runs load-balancing scenarios against arrowstand, in a simulator or in an emulator on loopback
/// sockets.
#[derive(Parser)]
#[command(name = "arrowstand-testbed", version)]
pub(super) struct Arguments {
    /// Format of the log on standard error.
    #[arg(long, global = true, value_enum, default_value = "lines")]
    pub(super) log: LogFormat,
    #[command(subcommand)]
    pub(super) command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
pub(super) enum LogFormat {
    Lines,
    Json,
}

#[derive(Subcommand)]
pub(super) enum Command {
    /// Runs a scenario in the simulator, in virtual time.
    #[command(alias = "run")]
    Simulate(RunArguments),
    /// Runs a scenario in the emulator: real sidecars between emulated clients and servers, on
    /// loopback sockets.
    #[command(alias = "stage")]
    Emulate {
        #[command(flatten)]
        run: RunArguments,
        #[command(flatten)]
        emulator: EmulatorArguments,
    },
    /// Simulates a scenario over a grid of values and seeds, on all cores.
    Experiment(ExperimentArguments),
    /// Prints two reports side by side.
    Compare {
        /// First report, as JSON.
        a: PathBuf,
        /// Second report, as JSON.
        b: PathBuf,
    },
    /// Checks scenario files and prints every error in them.
    Check {
        /// Scenario files.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
    /// Runs the emulated servers of a scenario until Ctrl-C, and prints the commands that start its
    /// sidecars.
    Serve {
        /// Scenario file.
        scenario: PathBuf,
        #[command(flatten)]
        emulator: EmulatorArguments,
    },
    /// Plays runs of one sidecar with the smallest limits: crowds of clients, signals in series,
    /// restarts.
    Soak {
        #[command(flatten)]
        soak: SoakArguments,
        #[command(flatten)]
        emulator: EmulatorArguments,
    },
    /// Emulates two servers and one sidecar under a light load for ten seconds.
    Try {
        #[command(flatten)]
        emulator: EmulatorArguments,
    },
}

#[derive(Args)]
pub(super) struct RunArguments {
    /// Scenario file.
    pub(super) scenario: PathBuf,
    /// Seed of the random draws; by default the scenario's.
    #[arg(long)]
    pub(super) seed: Option<u64>,
    /// Overrides a key of the scenario, such as sidecars.count=5; may be given more than once.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    pub(super) set: Vec<String>,
    /// Writes the report to this file, as JSON.
    #[arg(long, value_name = "FILE")]
    pub(super) json: Option<PathBuf>,
    /// Plots the report into this file, as SVG.
    #[arg(long, value_name = "FILE")]
    pub(super) svg: Option<PathBuf>,
    /// Writes every event to this file, one JSON object per line.
    #[arg(long, alias = "ledger", value_name = "FILE")]
    pub(super) event_log: Option<PathBuf>,
}

#[derive(Args)]
pub(super) struct ExperimentArguments {
    /// Experiment file.
    pub(super) plan: PathBuf,
    /// Writes the table to this file, as CSV with one row per cell of the grid.
    #[arg(long, value_name = "FILE")]
    pub(super) csv: Option<PathBuf>,
    /// Plots the figures into this file, as SVG.
    #[arg(long, value_name = "FILE")]
    pub(super) svg: Option<PathBuf>,
    /// Number of seeds per cell of the grid; by default that of the experiment file.
    #[arg(long)]
    pub(super) seeds: Option<u64>,
    /// Hides the progress bar.
    #[arg(long)]
    pub(super) quiet: bool,
}

/// Without `--crowd` the seed draws everything; with it the run has this crowd and no signals but
/// `--restart`.
#[derive(Args)]
pub(super) struct SoakArguments {
    /// Seed of the first run.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Number of runs, each with the next seed.
    #[arg(long, default_value_t = 1)]
    pub(super) runs: u64,
    /// Length of the load of each run, in seconds.
    #[arg(long, default_value_t = 12.0)]
    pub(super) seconds: f64,
    /// Plays a crowd of this kind in place of what the seed draws.
    #[arg(long, value_enum)]
    pub(super) crowd: Option<CrowdKind>,
    /// With `--crowd`: the endpoint list is that of the largest fleet.
    #[arg(long, requires = "crowd")]
    pub(super) largest_fleet: bool,
    /// With `--crowd`: servers are slow, and their responses large.
    #[arg(long, requires = "crowd")]
    pub(super) slow_large_responses: bool,
    /// With `--crowd`: the process is killed and started again in the middle of the crowd.
    #[arg(long, requires = "crowd")]
    pub(super) restart: bool,
    /// With `--crowd`: discovery is moved again and again.
    #[arg(long, requires = "crowd")]
    pub(super) reloads: bool,
    /// File descriptors of the sidecar; by default those of the plan.
    #[arg(long)]
    pub(super) sockets: Option<u64>,
}

impl SoakArguments {
    /// The run with this seed.
    pub(super) fn plan(&self, seed: u64) -> Plan {
        let duration = Duration::from_secs_f64(self.seconds.max(0.0));
        let mut plan = match self.crowd {
            None => Plan::draw(seed, duration),
            Some(kind) => self.plan_with_crowd(seed, duration, kind),
        };
        plan.sockets = self.sockets.unwrap_or(plan.sockets);
        plan
    }

    fn plan_with_crowd(&self, seed: u64, duration: Duration, kind: CrowdKind) -> Plan {
        let mut plan = Plan::with_crowd(seed, duration, kind);
        if self.largest_fleet {
            plan = plan.with_largest_fleet();
        }
        if self.slow_large_responses {
            plan = plan.with_slow_large_responses();
        }
        if self.restart {
            plan = plan.with_restart();
        }
        if self.reloads {
            plan = plan.with_reloads();
        }
        plan
    }
}

#[derive(Args)]
pub(super) struct EmulatorArguments {
    /// Sidecar program; by default `arrowstand` in the folder of this program.
    #[arg(long, value_name = "FILE")]
    arrowstand: Option<PathBuf>,
    /// Folder for the sidecars' configurations and logs; by default a temporary folder.
    #[arg(long)]
    folder: Option<PathBuf>,
}

impl EmulatorArguments {
    /// Converts the arguments to options of the emulator.
    ///
    /// # Errors
    /// Returns an error if the sidecar program is not a file.
    pub(super) fn emulator_options(&self) -> Result<emulator::Options, CliError> {
        let default_program = || {
            Some(
                std::env::current_exe()
                    .ok()?
                    .parent()?
                    .join(SIDECAR_PROGRAM),
            )
        };
        let program = self
            .arrowstand
            .clone()
            .or_else(default_program)
            .unwrap_or_else(|| SIDECAR_PROGRAM.into());
        if !program.is_file() {
            return Err(CliError::ProgramNotFound { path: program });
        }
        Ok(emulator::Options {
            program,
            folder: self.folder.clone(),
        })
    }
}
