//! The command line. Exit codes: 0 for a run that passes; 1 for a violation, a missed expectation,
//! unreliable figures or a fault of the environment; 2 for bad input.

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
use crate::{emulator, simulator};

use arguments::{Arguments, Command, ExperimentArguments, LogFormat, PlayArguments};
use error::CliError;

/// The scenario of `try`: two servers, one sidecar, a little load.
const TRY_SCENARIO: &str = include_str!("../../scenarios/try.toml");

/// Whether everything that a command played passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Passed,
    Failed,
}

impl Verdict {
    fn of(passes: bool) -> Self {
        if passes { Self::Passed } else { Self::Failed }
    }
}

/// Runs the program.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    start_logging(arguments.log);
    match execute(arguments.command) {
        Ok(Verdict::Passed) => ExitCode::SUCCESS,
        Ok(Verdict::Failed) => ExitCode::FAILURE,
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

/// Executes a command.
fn execute(command: Command) -> Result<Verdict, CliError> {
    match command {
        Command::Simulate(arguments) => play(&arguments, simulate),
        Command::Emulate {
            play: arguments,
            program,
        } => {
            let options = program.options()?;
            play(&arguments, |scenario, event_log| {
                Ok(emulator::run(&scenario.scenario, &options, event_log)?)
            })
        }
        Command::Experiment(arguments) => experiment(&arguments),
        Command::Compare { a, b } => {
            let a = input::read_report(&a)?;
            let b = input::read_report(&b)?;
            print!("{}", compare(&a, &b));
            Ok(Verdict::Passed)
        }
        Command::Check { scenarios } => check(&scenarios),
        Command::Serve { scenario, program } => serve(&scenario, &program.options()?),
        Command::Try { program } => try_out(&program.options()?),
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

/// Plays a scenario and writes what is asked for.
fn play(
    arguments: &PlayArguments,
    engine: impl FnOnce(&ScenarioFile, Option<&mut dyn EventSink>) -> Result<Report, CliError>,
) -> Result<Verdict, CliError> {
    let scenario = input::scenario(arguments)?;
    let report = match &arguments.event_log {
        Some(path) => output::with_event_log(path, |event_log| engine(&scenario, Some(event_log)))?,
        None => engine(&scenario, None)?,
    };
    output::write_report(&report, arguments)?;
    print!("{report}");
    Ok(Verdict::of(report.passes()))
}

fn experiment(arguments: &ExperimentArguments) -> Result<Verdict, CliError> {
    let (mut plan, scenario) = Plan::open(&arguments.plan)?;
    plan.seeds = arguments.seeds.unwrap_or(plan.seeds);
    let display = if arguments.quiet {
        ProgressDisplay::Hidden
    } else {
        ProgressDisplay::Bar
    };
    let results = plan.play(&scenario, display)?;
    let table = results.csv();
    print!("{table}");
    if let Some(path) = &arguments.csv {
        std::fs::write(path, &table).map_err(CliError::write(path))?;
    }
    if let Some(path) = &arguments.svg {
        results.draw(path)?;
    }
    Ok(Verdict::of(results.violation_count() == 0))
}

fn check(scenarios: &[impl AsRef<Path>]) -> Result<Verdict, CliError> {
    let errors: Vec<ScenarioErrors> = scenarios
        .iter()
        .filter_map(|path| ScenarioFile::open(path.as_ref()).err())
        .collect();
    if errors.is_empty() {
        Ok(Verdict::Passed)
    } else {
        Err(CliError::Scenarios(errors))
    }
}

fn serve(scenario: &Path, options: &emulator::Options) -> Result<Verdict, CliError> {
    let scenario = ScenarioFile::open(scenario)?;
    emulator::serve(&scenario.scenario, options, |commands| {
        println!("The emulated servers are up until Ctrl-C. To start a sidecar:\n{commands}");
    })?;
    Ok(Verdict::Passed)
}

fn try_out(options: &emulator::Options) -> Result<Verdict, CliError> {
    let scenario = ScenarioFile::read("try", TRY_SCENARIO)?;
    let seconds = scenario.scenario.seconds;
    println!("Two emulated servers, one sidecar, {seconds} s of load ...");
    let report = emulator::run(&scenario.scenario, options, None)?;
    print!("{report}");
    Ok(Verdict::of(report.passes()))
}
