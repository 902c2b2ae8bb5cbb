//! The verbs, arguments and flags. Verbs and flags of earlier versions are hidden aliases.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

use super::error::CliError;
use crate::emulator;

/// The sidecar's program, as it is looked for beside this one.
const SIDECAR_PROGRAM: &str = "arrowstand";

/// Plays scenarios against arrowstand: in a simulator, or in an emulator on loopback sockets.
#[derive(Parser)]
#[command(name = "arrowstand-testbed", version)]
pub(super) struct Arguments {
    /// Format of the log lines on standard error.
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
    /// Plays a scenario in the simulator, in virtual time.
    #[command(alias = "run")]
    Simulate(PlayArguments),
    /// Plays a scenario in the emulator: real sidecars among emulated servers, on loopback sockets.
    #[command(alias = "stage")]
    Emulate {
        #[command(flatten)]
        play: PlayArguments,
        #[command(flatten)]
        program: ProgramArguments,
    },
    /// Simulates a scenario over a grid of values and seeds, on all cores.
    Experiment(ExperimentArguments),
    /// Prints two reports side by side.
    Compare {
        /// A report as JSON.
        a: PathBuf,
        /// Another one.
        b: PathBuf,
    },
    /// Checks scenarios, and prints every error in them.
    Check {
        /// The scenarios' files.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
    /// Runs a scenario's emulated servers until Ctrl-C, and prints how to start a sidecar among
    /// them.
    Serve {
        /// The scenario's file.
        scenario: PathBuf,
        #[command(flatten)]
        program: ProgramArguments,
    },
    /// Emulates two servers, one sidecar and a little load, for ten seconds.
    Try {
        #[command(flatten)]
        program: ProgramArguments,
    },
}

#[derive(Args)]
pub(super) struct PlayArguments {
    /// The scenario's file.
    pub(super) scenario: PathBuf,
    /// Plays this seed instead of the scenario's.
    #[arg(long)]
    pub(super) seed: Option<u64>,
    /// Sets a key of the scenario to another value, such as sidecars.count=5.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    pub(super) set: Vec<String>,
    /// Writes the report as JSON.
    #[arg(long, value_name = "FILE")]
    pub(super) json: Option<PathBuf>,
    /// Draws the report as SVG.
    #[arg(long, value_name = "FILE")]
    pub(super) svg: Option<PathBuf>,
    /// Writes every event, one JSON object a line.
    #[arg(long, alias = "ledger", value_name = "FILE")]
    pub(super) event_log: Option<PathBuf>,
}

#[derive(Args)]
pub(super) struct ExperimentArguments {
    /// The experiment's file.
    pub(super) plan: PathBuf,
    /// Writes the table, one row a cell of the grid.
    #[arg(long, value_name = "FILE")]
    pub(super) csv: Option<PathBuf>,
    /// Draws the figures as SVG.
    #[arg(long, value_name = "FILE")]
    pub(super) svg: Option<PathBuf>,
    /// Plays this many seeds instead of the file's.
    #[arg(long)]
    pub(super) seeds: Option<u64>,
    /// Shows no progress.
    #[arg(long)]
    pub(super) quiet: bool,
}

#[derive(Args)]
pub(super) struct ProgramArguments {
    /// The sidecar's program; by default the one beside this program.
    #[arg(long, value_name = "FILE")]
    arrowstand: Option<PathBuf>,
    /// Folder of the sidecars' configurations and logs.
    #[arg(long)]
    folder: Option<PathBuf>,
}

impl ProgramArguments {
    /// The emulator's options.
    ///
    /// # Errors
    /// Where the sidecar's program is missing.
    pub(super) fn options(&self) -> Result<emulator::Options, CliError> {
        let beside = || {
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
            .or_else(beside)
            .unwrap_or_else(|| SIDECAR_PROGRAM.into());
        if !program.is_file() {
            return Err(CliError::MissingProgram { path: program });
        }
        Ok(emulator::Options {
            program,
            folder: self.folder.clone(),
        })
    }
}
