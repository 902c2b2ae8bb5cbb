//! The command line. Exit codes: 0 if all runs pass; 1 for a violation, a missed expectation,
//! differing counters, unreliable figures or an error of the environment; 2 for bad input.

mod arguments;
mod error;
mod input;
mod output;

use std::path::Path;
use std::process::ExitCode;

use clap::Parser as _;

use crate::event_log::EventSink;
use crate::experiment::{Plan, ProgressDisplay};
use crate::report::{Report, compare};
use crate::scenario::{ScenarioErrors, ScenarioFile};
use crate::{emulator, simulator, soak};

use arguments::{Arguments, Command, ExperimentArguments, LogFormat, RunArguments, SoakArguments};
use error::CliError;

/// The scenario of `try`: two servers and one sidecar under a light load.
const TRY_SCENARIO: &str = include_str!("../../scenarios/try.toml");

/// Whether all runs of a command passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunStatus {
    Passed,
    Failed,
}

impl RunStatus {
    fn from_passed(passed: bool) -> Self {
        if passed { Self::Passed } else { Self::Failed }
    }
}

/// Parses the arguments, executes the command and returns the exit code.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    start_logging(arguments.log);
    match execute(arguments.command) {
        Ok(RunStatus::Passed) => ExitCode::SUCCESS,
        Ok(RunStatus::Failed) => ExitCode::FAILURE,
        Err(error) => {
            error.print();
            error.exit_code()
        }
    }
}

fn start_logging(format: LogFormat) {
    let lines = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    match format {
        LogFormat::Lines => lines.init(),
        LogFormat::Json => lines.json().init(),
    }
}

fn execute(command: Command) -> Result<RunStatus, CliError> {
    match command {
        Command::Simulate(arguments) => run_scenario(&arguments, simulate),
        Command::Emulate {
            run: arguments,
            emulator: emulator_arguments,
        } => {
            let options = emulator_arguments.emulator_options()?;
            run_scenario(&arguments, |scenario, event_log| {
                Ok(emulator::run(&scenario.scenario, &options, event_log)?)
            })
        }
        Command::Experiment(arguments) => experiment(&arguments),
        Command::Compare { a, b } => {
            let a = input::read_report(&a)?;
            let b = input::read_report(&b)?;
            print!("{}", compare(&a, &b));
            Ok(RunStatus::Passed)
        }
        Command::Check { scenarios } => check(&scenarios),
        Command::Serve { scenario, emulator } => serve(&scenario, &emulator.emulator_options()?),
        Command::Soak { soak, emulator } => run_soak(&soak, &emulator.emulator_options()?),
        Command::Try { emulator } => run_try(&emulator.emulator_options()?),
    }
}

fn simulate(
    scenario: &ScenarioFile,
    event_log: Option<&mut dyn EventSink>,
) -> Result<Report, CliError> {
    let (report, _) =
        simulator::run(&scenario.scenario, event_log).map_err(|e| CliError::Simulator {
            reason: e.to_string(),
        })?;
    Ok(report)
}

/// Runs a scenario with `engine`, and writes the outputs that the arguments name.
fn run_scenario(
    arguments: &RunArguments,
    engine: impl FnOnce(&ScenarioFile, Option<&mut dyn EventSink>) -> Result<Report, CliError>,
) -> Result<RunStatus, CliError> {
    let scenario = input::read_scenario(arguments)?;
    let report = match &arguments.event_log {
        Some(path) => output::with_event_log(path, |event_log| engine(&scenario, Some(event_log)))?,
        None => engine(&scenario, None)?,
    };
    output::write_report(&report, arguments)?;
    print!("{report}");
    Ok(RunStatus::from_passed(report.passes()))
}

fn experiment(arguments: &ExperimentArguments) -> Result<RunStatus, CliError> {
    let (mut plan, scenario) = Plan::open(&arguments.plan)?;
    plan.seeds = arguments.seeds.unwrap_or(plan.seeds);
    let display = if arguments.quiet {
        ProgressDisplay::Hidden
    } else {
        ProgressDisplay::Bar
    };
    let results = plan.run(&scenario, display)?;
    let table = results.csv();
    print!("{table}");
    if let Some(path) = &arguments.csv {
        std::fs::write(path, &table).map_err(CliError::write(path))?;
    }
    if let Some(path) = &arguments.svg {
        results.draw(path)?;
    }
    Ok(RunStatus::from_passed(results.violation_count() == 0))
}

fn check(scenarios: &[impl AsRef<Path>]) -> Result<RunStatus, CliError> {
    let errors: Vec<ScenarioErrors> = scenarios
        .iter()
        .filter_map(|path| ScenarioFile::open(path.as_ref()).err())
        .collect();
    if errors.is_empty() {
        Ok(RunStatus::Passed)
    } else {
        Err(CliError::Scenarios(errors))
    }
}

fn serve(scenario: &Path, options: &emulator::Options) -> Result<RunStatus, CliError> {
    let scenario = ScenarioFile::open(scenario)?;
    emulator::serve(&scenario.scenario, options, |commands| {
        println!(
            "The emulated servers run until Ctrl-C. Commands that start the sidecars:\n{commands}"
        );
    })?;
    Ok(RunStatus::Passed)
}

/// Plays the runs one after the other; fails if any of them has a finding.
fn run_soak(arguments: &SoakArguments, options: &emulator::Options) -> Result<RunStatus, CliError> {
    let folder = match &options.folder {
        Some(folder) => folder.clone(),
        None => std::env::temp_dir().join(format!("arrowstand-soak-{}", std::process::id())),
    };
    let mut passed = true;
    for run in 0..arguments.runs {
        let plan = arguments.plan(arguments.seed.saturating_add(run));
        let options = soak::SoakOptions {
            program: options.program.clone(),
            folder: folder.join(plan.seed.to_string()),
        };
        let report = soak::run(&plan, &options)?;
        print!("{report}");
        passed &= report.findings.is_empty();
    }
    Ok(RunStatus::from_passed(passed))
}

fn run_try(options: &emulator::Options) -> Result<RunStatus, CliError> {
    let scenario = ScenarioFile::read("try", TRY_SCENARIO)?;
    let seconds = scenario.scenario.seconds;
    println!("Emulating two servers and one sidecar under load for {seconds} s ...");
    let report = emulator::run(&scenario.scenario, options, None)?;
    print!("{report}");
    Ok(RunStatus::from_passed(report.passes()))
}
