//! Why a command fails, how it is printed, and the exit code that follows.
//!
//! Owns which errors count as bad input.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::emulator::EmulatorError;
use crate::experiment::ExperimentError;
use crate::plot::PlotError;
use crate::scenario::ScenarioErrors;

/// Exit code for bad input.
const BAD_INPUT: u8 = 2;

/// A command that could not be executed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CliError {
    /// The sidecar's program is not where it should be.
    #[error("--arrowstand: there is no program {}: build the workspace first", .path.display())]
    MissingProgram { path: PathBuf },
    /// A `--set` without a key or a value.
    #[error("--set {argument}: is not KEY=VALUE")]
    SetSyntax { argument: String },
    /// A seed beyond the integers of TOML.
    #[error("--seed: is too large")]
    SeedTooLarge,
    /// A scenario or plan with errors.
    #[error(transparent)]
    Scenario(#[from] ScenarioErrors),
    /// Several of them.
    #[error("{}", lines(.0))]
    Scenarios(Vec<ScenarioErrors>),
    /// A report cannot be read.
    #[error("{}: {source}", .path.display())]
    ReadReport { path: PathBuf, source: io::Error },
    /// A file is no report.
    #[error("{}: {source}", .path.display())]
    ParseReport {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// A file that should be written cannot be created.
    #[error("{}: {source}", .path.display())]
    Create { path: PathBuf, source: io::Error },
    /// A file was created and cannot be written to its end.
    #[error("{}: {source}", .path.display())]
    Write { path: PathBuf, source: io::Error },
    /// The simulator does not take the scenario.
    #[error("{reason}")]
    Simulator { reason: String },
    /// The emulator could not play the scenario.
    #[error(transparent)]
    Emulator(#[from] EmulatorError),
    /// The experiment could not be played.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// A plot could not be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
}

fn lines(errors: &[ScenarioErrors]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl CliError {
    pub(super) fn create(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        |source| Self::Create {
            path: path.to_owned(),
            source,
        }
    }

    pub(super) fn write(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        |source| Self::Write {
            path: path.to_owned(),
            source,
        }
    }

    /// True where the user has to change the input; otherwise the environment is at fault.
    fn is_bad_input(&self) -> bool {
        match self {
            Self::MissingProgram { .. }
            | Self::SetSyntax { .. }
            | Self::SeedTooLarge
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

    /// Prints the error on standard error.
    pub(super) fn print(&self) {
        if self.is_bad_input() {
            eprintln!("{self}");
        } else {
            eprintln!("arrowstand-testbed: {self}");
        }
    }

    pub(super) fn exit_code(&self) -> ExitCode {
        if self.is_bad_input() {
            ExitCode::from(BAD_INPUT)
        } else {
            ExitCode::FAILURE
        }
    }
}
