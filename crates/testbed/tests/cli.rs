//! Tests of the command line: exit codes, messages and output files.

mod common;

use common::{TemporaryPath, testbed};

use arrowstand_testbed::event_log::read;

fn scenario(name: &str) -> String {
    format!("{}/scenarios/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_passing_run_exits_with_0_and_writes_the_requested_files() {
    let json = TemporaryPath::new("report.json");
    let svg = TemporaryPath::new("report.svg");
    let event_log = TemporaryPath::new("events");
    let run = testbed(&[
        "simulate",
        &scenario("try.toml"),
        "--seed",
        "3",
        "--json",
        json.as_str(),
        "--svg",
        svg.as_str(),
        "--event-log",
        event_log.as_str(),
    ]);
    assert_eq!(run.status.code(), Some(0), "{}", text(&run.stdout));
    assert!(svg.read().contains("<svg"));
    let records = read(&event_log.read()).expect("read");
    assert!(records.len() > 1_000 && records.windows(2).all(|w| w[0].at <= w[1].at));
    let compared = testbed(&["compare", json.as_str(), json.as_str()]);
    let table = text(&compared.stdout);
    assert!(
        table.contains("service") && table.contains("+0.0000"),
        "{table}"
    );
}

#[test]
fn a_missed_expectation_exits_with_1() {
    let run = testbed(&[
        "simulate",
        &scenario("try.toml"),
        "--set",
        "expect.service=1.0",
        "--set",
        "load.of_capacity=3.0",
    ]);
    assert_eq!(run.status.code(), Some(1));
    assert!(text(&run.stdout).contains("MISSED: service"));
}

#[test]
fn bad_input_exits_with_2_and_names_file_line_and_key() {
    let bad = TemporaryPath::with_text("bad.toml", "seconds = 1.0\n[load]\nspeed = 3\n");
    for command in ["simulate", "emulate", "check"] {
        let run = testbed(&[command, bad.as_str()]);
        let message = text(&run.stderr);
        assert_eq!(run.status.code(), Some(2), "{message}");
        assert!(
            message.contains("bad.toml:3: load.speed: unknown field"),
            "{message}"
        );
    }
    let run = testbed(&[
        "simulate",
        &scenario("try.toml"),
        "--set",
        "sidecars.count=-1",
    ]);
    assert_eq!(run.status.code(), Some(2));
    assert!(text(&run.stderr).contains("sidecars.count"));
}

#[test]
fn bad_arguments_exit_with_2_and_a_one_line_message() {
    let try_scenario = scenario("try.toml");
    for (arguments, message) in [
        (
            vec!["simulate", &try_scenario, "--set", "seconds"],
            "--set seconds: expected KEY=VALUE, such as sidecars.count=5\n",
        ),
        (
            vec!["simulate", &try_scenario, "--seed", "18446744073709551615"],
            "--seed: must be at most 9223372036854775807\n",
        ),
        (
            vec!["try", "--arrowstand", "/nowhere"],
            "--arrowstand: no program at /nowhere: build the workspace or pass its path\n",
        ),
        (
            vec!["compare", "/nowhere", "/nowhere"],
            "/nowhere: No such file or directory (os error 2)\n",
        ),
        (
            vec!["simulate", &try_scenario, "--event-log", "/nowhere/events"],
            "/nowhere/events: No such file or directory (os error 2)\n",
        ),
    ] {
        let run = testbed(&arguments);
        assert_eq!(run.status.code(), Some(2), "{arguments:?}");
        assert_eq!(text(&run.stderr), message, "{arguments:?}");
    }
}

#[test]
fn an_experiment_prints_a_row_per_cell_with_intervals_and_writes_a_plot() {
    let plan_text = format!(
        "name = \"load\"\nscenario = {:?}\nfigures = [\"service\", \"p99_ms\"]\nseeds = 3\n\
         [[axis]]\nkey = \"load.of_capacity\"\nvalues = [0.3, 1.2]\n\
         [[axis]]\nkey = \"sidecars.count\"\nvalues = [1, 2]\n[set]\nseconds = 5.0\n",
        scenario("try.toml")
    );
    let plan = TemporaryPath::with_text("plan.toml", &plan_text);
    let svg = TemporaryPath::new("plan.svg");
    let run = testbed(&[
        "experiment",
        plan.as_str(),
        "--quiet",
        "--svg",
        svg.as_str(),
    ]);
    let table = text(&run.stdout);
    assert_eq!(run.status.code(), Some(0), "{table}{}", text(&run.stderr));
    let rows: Vec<Vec<f64>> = table
        .lines()
        .skip(1)
        .map(|line| {
            let cells = line.split(',');
            cells.map(|cell| cell.parse().expect("number")).collect()
        })
        .collect();
    assert_eq!(rows.len(), 4);
    assert!(
        rows[0][2] > rows[2][2] && rows.iter().all(|row| row[3] >= 0.0),
        "{table}"
    );
    assert!(svg.read().contains("<svg"));
    let bad_text = plan_text.replace("\"service\"", "\"no_such_figure\"");
    let bad = TemporaryPath::with_text("bad-plan.toml", &bad_text);
    let run = testbed(&["experiment", bad.as_str()]);
    assert_eq!(run.status.code(), Some(2));
    assert!(text(&run.stderr).contains("figures[0]"));
}

#[test]
fn commands_and_flags_of_earlier_versions_are_hidden_aliases() {
    let scenario = scenario("try.toml");
    let old = TemporaryPath::new("old.events");
    let new = TemporaryPath::new("new.events");
    let run_command = |command: &str, flag: &str, file: &TemporaryPath| {
        let seconds = ["--set", "seconds=2.0"];
        let run = testbed(&[
            command,
            &scenario,
            seconds[0],
            seconds[1],
            flag,
            file.as_str(),
        ]);
        assert_eq!(run.status.code(), Some(0));
        run.stdout
    };
    let printed = run_command("run", "--ledger", &old);
    assert_eq!(printed, run_command("simulate", "--event-log", &new));
    assert!(new.read().lines().count() > 100);
    assert_eq!(old.read(), new.read());

    let help = |arguments: &[&str]| text(&testbed(arguments).stdout);
    let commands = help(&["--help"]);
    let flags = help(&["simulate", "--help"]);
    assert!(
        commands.contains("simulate") && commands.contains("emulate"),
        "{commands}"
    );
    assert!(
        !commands.contains("\n  run") && !commands.contains("\n  stage"),
        "{commands}"
    );
    assert!(
        flags.contains("--event-log") && !flags.contains("ledger"),
        "{flags}"
    );
    assert!(help(&["stage", "--help"]).contains("emulator"));
}
