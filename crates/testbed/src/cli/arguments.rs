//! Subcommands, arguments and flags, as clap types. Names of earlier versions are hidden aliases.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

use super::error::CliError;
use crate::emulator;

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
