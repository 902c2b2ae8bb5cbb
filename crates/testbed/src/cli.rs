//! The command line. Exit codes: 0 where all held, 1 where a rule broke, an expectation was missed or the
//! machine ran late, 2 for bad input.

use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand, ValueEnum};

use crate::event_log::{EventLog, Writer};
use crate::experiment::Plan;
use crate::report::{Report, compare};
use crate::scenario::ScenarioFile;
use crate::{emulator, plot, simulator};

/// Plays scenarios against arrowstand: in a model, or on loopback sockets.
#[derive(Parser)]
#[command(name = "arrowstand-testbed", version)]
struct Cli {
    /// How log lines are written, on standard error.
    #[arg(long, global = true, value_enum, default_value = "lines")]
    log: Log,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum Log {
    Lines,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario in the model, in virtual time.
    Run(Play),
    /// Plays a scenario on loopback sockets, with real sidecars.
    Stage {
        #[command(flatten)]
        play: Play,
        #[command(flatten)]
        at: Program,
    },
    /// Plays a scenario over a grid of values and seeds, on all cores.
    Experiment {
        /// The experiment's file.
        plan: PathBuf,
        /// Writes one row a place of the grid.
        #[arg(long)]
        csv: Option<PathBuf>,
        /// Draws the figures.
        #[arg(long)]
        svg: Option<PathBuf>,
        /// Plays this many seeds instead of the file's.
        #[arg(long)]
        seeds: Option<u64>,
        /// Shows no progress.
        #[arg(long)]
        quiet: bool,
    },
    /// Puts two reports side by side.
    Compare { a: PathBuf, b: PathBuf },
    /// Checks scenarios, and tells every fault.
    Check {
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
    /// Holds a scenario's stand-ins up and says how to start a sidecar among them.
    Serve {
        scenario: PathBuf,
        #[command(flatten)]
        at: Program,
    },
    /// Stand-ins, one sidecar and a little load, for ten seconds.
    Try {
        #[command(flatten)]
        at: Program,
    },
}

#[derive(Args)]
struct Play {
    scenario: PathBuf,
    /// Instead of the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// Sets a key to another value, such as sidecars.count=5.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    set: Vec<String>,
    /// Writes the report as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Draws the report.
    #[arg(long)]
    svg: Option<PathBuf>,
    /// Writes the whole record, one JSON object a line.
    #[arg(long)]
    ledger: Option<PathBuf>,
}

#[derive(Args)]
struct Program {
    /// The sidecar's program; by default the one beside this program.
    #[arg(long)]
    arrowstand: Option<PathBuf>,
    /// Where configurations and logs go.
    #[arg(long)]
    folder: Option<PathBuf>,
}

/// Why the program ends with another code than 0.
enum Failure {
    /// All was played, and something did not hold.
    Missed,
    /// Bad input.
    Input(String),
    /// Something else went wrong.
    Fault(String),
}

fn input(fault: impl ToString) -> Failure {
    Failure::Input(fault.to_string())
}

fn trouble(fault: impl ToString) -> Failure {
    Failure::Fault(fault.to_string())
}

impl Program {
    fn options(&self) -> Result<emulator::Options, Failure> {
        let beside = || Some(std::env::current_exe().ok()?.parent()?.join("arrowstand"));
        let program = self
            .arrowstand
            .clone()
            .or_else(beside)
            .unwrap_or_else(|| "arrowstand".into());
        if !program.is_file() {
            let path = program.display();
            return Err(input(format!(
                "--arrowstand: there is no program {path}: build the workspace first"
            )));
        }
        Ok(emulator::Options {
            program,
            folder: self.folder.clone(),
        })
    }
}

impl Play {
    fn scenario(&self) -> Result<ScenarioFile, Failure> {
        let mut changes = Vec::new();
        for set in &self.set {
            let pair = set
                .split_once('=')
                .ok_or_else(|| input(format!("--set {set}: is not KEY=VALUE")))?;
            let value = |text: &str| {
                format!("v = {text}")
                    .parse::<toml::Table>()
                    .ok()?
                    .remove("v")
            };
            let text = || toml::Value::String(pair.1.to_owned());
            changes.push((pair.0.to_owned(), value(pair.1).unwrap_or_else(text)));
        }
        if let Some(seed) = self.seed {
            let seed = i64::try_from(seed).map_err(|_| input("--seed: is too large"))?;
            changes.push(("seed".into(), toml::Value::Integer(seed)));
        }
        ScenarioFile::open(&self.scenario)
            .and_then(|s| s.with(&changes))
            .map_err(input)
    }

    /// Plays, and writes what is asked for.
    fn play(
        &self,
        play: impl FnOnce(&ScenarioFile, Option<&mut dyn EventLog>) -> Result<Report, String>,
    ) -> Result<(), Failure> {
        let scenario = self.scenario()?;
        let create =
            |path: &Path| File::create(path).map_err(|e| input(format!("{}: {e}", path.display())));
        let report = match &self.ledger {
            Some(path) => {
                let mut writer = Writer::new(BufWriter::new(create(path)?));
                let report = play(&scenario, Some(&mut writer)).map_err(trouble)?;
                writer.finish().map_err(trouble)?;
                report
            }
            None => play(&scenario, None).map_err(trouble)?,
        };
        if let Some(path) = &self.json {
            let text = serde_json::to_string_pretty(&report).map_err(trouble)?;
            writeln!(create(path)?, "{text}").map_err(trouble)?;
        }
        if let Some(path) = &self.svg {
            plot::report(&report, path).map_err(trouble)?;
        }
        print!("{report}");
        if report.holds() {
            Ok(())
        } else {
            Err(Failure::Missed)
        }
    }
}

fn read_report(path: &Path) -> Result<Report, Failure> {
    let fault = |e: &dyn std::fmt::Display| input(format!("{}: {e}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| fault(&e))?;
    serde_json::from_str(&text).map_err(|e| fault(&e))
}

fn experiment(
    plan: &Path,
    csv: Option<&Path>,
    svg: Option<&Path>,
    seeds: Option<u64>,
    quiet: bool,
) -> Result<(), Failure> {
    let (mut plan, scenario) = Plan::open(plan).map_err(input)?;
    plan.seeds = seeds.unwrap_or(plan.seeds);
    let played = plan.play(&scenario, quiet).map_err(trouble)?;
    let table = played.csv();
    print!("{table}");
    if let Some(path) = csv {
        std::fs::write(path, &table).map_err(trouble)?;
    }
    if let Some(path) = svg {
        played.draw(path).map_err(trouble)?;
    }
    if played.all_broken() == 0 {
        Ok(())
    } else {
        Err(Failure::Missed)
    }
}

/// The day of `try`: two job servers, one sidecar, a little load.
const TRY: &str = include_str!("../scenarios/try.toml");

fn carry_out(command: Command) -> Result<(), Failure> {
    match command {
        Command::Run(play) => {
            play.play(|scenario, ledger| Ok(simulator::run(&scenario.day, ledger)?.0))
        }
        Command::Stage { play, at } => {
            let options = at.options()?;
            play.play(|scenario, ledger| emulator::run(&scenario.day, &options, ledger))
        }
        Command::Experiment {
            plan,
            csv,
            svg,
            seeds,
            quiet,
        } => experiment(&plan, csv.as_deref(), svg.as_deref(), seeds, quiet),
        Command::Compare { a, b } => {
            print!("{}", compare(&read_report(&a)?, &read_report(&b)?));
            Ok(())
        }
        Command::Check { scenarios } => {
            let faults: Vec<String> = scenarios
                .iter()
                .filter_map(|s| ScenarioFile::open(s).err())
                .map(|f| f.to_string())
                .collect();
            if faults.is_empty() {
                Ok(())
            } else {
                Err(Failure::Input(faults.join("\n")))
            }
        }
        Command::Serve { scenario, at } => {
            let options = at.options()?;
            let scenario = ScenarioFile::open(&scenario).map_err(input)?;
            let say = |how: String| {
                println!("The stand-ins are up until Ctrl-C. To start a sidecar:\n{how}")
            };
            emulator::serve(&scenario.day, &options, say).map_err(trouble)
        }
        Command::Try { at } => {
            let options = at.options()?;
            let scenario = ScenarioFile::read("try", TRY).map_err(input)?;
            println!(
                "Two stand-in job servers, one sidecar, {} s of load ...",
                scenario.day.seconds
            );
            let report = emulator::run(&scenario.day, &options, None).map_err(trouble)?;
            print!("{report}");
            if report.holds() {
                Ok(())
            } else {
                Err(Failure::Missed)
            }
        }
    }
}

/// Runs the program.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let lines = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    match cli.log {
        Log::Lines => lines.init(),
        Log::Json => lines.json().init(),
    }
    match carry_out(cli.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Missed) => ExitCode::FAILURE,
        Err(Failure::Input(fault)) => {
            eprintln!("{fault}");
            ExitCode::from(2)
        }
        Err(Failure::Fault(fault)) => {
            eprintln!("arrowstand-testbed: {fault}");
            ExitCode::FAILURE
        }
    }
}
