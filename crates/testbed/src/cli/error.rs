//! Errors of the command line, their output and their exit codes.
//!
//! Decides which errors count as bad input.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::emulator::EmulatorError;
use crate::experiment::ExperimentError;
use crate::plot::PlotError;
use crate::scenario::ScenarioErrors;

const BAD_INPUT_EXIT_CODE: u8 = 2;

/// Error that prevents a command from completing.
#[derive(Debug, thiserror::Error)]
pub(super) enum CliError {
    /// The path of the sidecar program is not a file.
    #[error(
        "--arrowstand: no program at {}: build the workspace or pass its path",
        .path.display()
    )]
    ProgramNotFound { path: PathBuf },
    /// The argument of `--set` has no `=`.
    #[error("--set {argument}: expected KEY=VALUE, such as sidecars.count=5")]
    MalformedOverride { argument: String },
    /// The seed exceeds the largest integer of TOML.
    #[error("--seed: must be at most {}", i64::MAX)]
    SeedOutOfRange,
    /// A scenario or an experiment file is invalid.
    #[error(transparent)]
    Scenario(#[from] ScenarioErrors),
    /// Several scenarios are invalid.
    #[error("{}", join_lines(.0))]
    Scenarios(Vec<ScenarioErrors>),
    /// A report file cannot be read.
    #[error("{}: {source}", .path.display())]
    ReadReport { path: PathBuf, source: io::Error },
    /// The content of a file is not a report.
    #[error("{}: is not a report as written by --json: {source}", .path.display())]
    ParseReport {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// An output file cannot be created.
    #[error("{}: {source}", .path.display())]
    Create { path: PathBuf, source: io::Error },
    /// Writing an output file failed after it was created.
    #[error("{}: {source}", .path.display())]
    Write { path: PathBuf, source: io::Error },
    /// The simulator rejected the scenario.
    #[error("{reason}")]
    Simulator { reason: String },
    /// The emulator could not run the scenario.
    #[error(transparent)]
    Emulator(#[from] EmulatorError),
    /// The experiment could not be run.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// A plot could not be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
}

fn join_lines(errors: &[ScenarioErrors]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl CliError {
    /// Returns a function that wraps the error of creating the output file `path`.
    pub(super) fn create(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        |source| Self::Create {
            path: path.to_owned(),
            source,
        }
    }

    /// Returns a function that wraps the error of writing the output file `path`.
    pub(super) fn write(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        |source| Self::Write {
            path: path.to_owned(),
            source,
        }
    }

    /// Returns true if the user has to change the input; otherwise the cause is in the environment.
    fn is_bad_input(&self) -> bool {
        match self {
            Self::ProgramNotFound { .. }
            | Self::MalformedOverride { .. }
            | Self::SeedOutOfRange
            | Self::Scenario(_)
            | Self::Scenarios(_)
            | Self::ReadReport { .. }
            | Self::ParseReport { .. }
            | Self::Create { .. } => true,
            Self::Write { .. }
            | Self::Simulator { .. }
            | Self::Emulator(_)
            | Self::Experiment(_)
            | Self::Plot(_) => false,
        }
    }

    /// Prints the error on standard error. A message about bad input begins with the file or flag
    /// in place of the program's name.
    pub(super) fn print(&self) {
        if self.is_bad_input() {
            eprintln!("{self}");
        } else {
            eprintln!("arrowstand-testbed: {self}");
        }
    }

    pub(super) fn exit_code(&self) -> ExitCode {
        if self.is_bad_input() {
            ExitCode::from(BAD_INPUT_EXIT_CODE)
        } else {
            ExitCode::FAILURE
        }
    }
}
