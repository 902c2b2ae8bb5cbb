//! The command line: exit codes, messages, and what is written.

use std::path::PathBuf;
use std::process::{Command, Output};

fn lab(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_arrowstand-testbed"))
        .args(words)
        .output()
        .expect("runs")
}

fn scenario(name: &str) -> String {
    format!("{}/scenarios/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn temporary(name: &str, text: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("arrowstand-testbed-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

#[test]
fn a_day_that_holds_ends_with_0_and_writes_what_is_asked_for() {
    let (json, svg, ledger) = (
        temporary("r.json", ""),
        temporary("r.svg", ""),
        temporary("r.ledger", ""),
    );
    let [j, s, l] = [&json, &svg, &ledger].map(|p| p.to_str().expect("text"));
    let run = lab(&[
        "simulate",
        &scenario("try.toml"),
        "--seed",
        "3",
        "--json",
        j,
        "--svg",
        s,
        "--event-log",
        l,
    ]);
    assert_eq!(
        run.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&run.stdout)
    );
    assert!(
        std::fs::read_to_string(&svg)
            .expect("drawn")
            .contains("<svg")
    );
    let record =
        arrowstand_testbed::event_log::read(&std::fs::read_to_string(&ledger).expect("there"))
            .expect("read");
    assert!(record.len() > 1_000 && record.windows(2).all(|w| w[0].at <= w[1].at));
    let compared = lab(&["compare", j, j]);
    let text = String::from_utf8_lossy(&compared.stdout).into_owned();
    assert!(
        text.contains("service") && text.contains("+0.0000"),
        "{text}"
    );
    [json, svg, ledger]
        .iter()
        .for_each(|p| std::fs::remove_file(p).expect("removed"));
}

#[test]
fn an_expectation_that_is_missed_ends_with_1() {
    let run = lab(&[
        "simulate",
        &scenario("try.toml"),
        "--set",
        "expect.service=1.0",
        "--set",
        "load.of_capacity=3.0",
    ]);
    assert_eq!(run.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&run.stdout).contains("MISSED: service"));
}

#[test]
fn bad_input_ends_with_2_and_names_the_key() {
    let bad = temporary("bad.toml", "seconds = 1.0\n[load]\nspeed = 3\n");
    let path = bad.to_str().expect("text");
    for words in [
        vec!["simulate", path],
        vec!["emulate", path],
        vec!["check", path],
    ] {
        let run = lab(&words);
        let said = String::from_utf8_lossy(&run.stderr).into_owned();
        assert_eq!(run.status.code(), Some(2), "{said}");
        assert!(
            said.contains("bad.toml:3: load.speed: unknown field"),
            "{said}"
        );
    }
    let run = lab(&[
        "simulate",
        &scenario("try.toml"),
        "--set",
        "sidecars.count=-1",
    ]);
    assert_eq!(run.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&run.stderr).contains("sidecars.count"));
    std::fs::remove_file(bad).expect("removed");
}

#[test]
fn an_experiment_gives_a_row_a_place_with_an_interval_and_a_plot() {
    let text = format!(
        "name = \"load\"\nscenario = {:?}\nfigures = [\"service\", \"p99_ms\"]\nseeds = 3\n\
         [[axis]]\nkey = \"load.of_capacity\"\nvalues = [0.3, 1.2]\n\
         [[axis]]\nkey = \"sidecars.count\"\nvalues = [1, 2]\n[set]\nseconds = 5.0\n",
        scenario("try.toml")
    );
    let (plan, svg) = (temporary("plan.toml", &text), temporary("plan.svg", ""));
    let run = lab(&[
        "experiment",
        plan.to_str().expect("text"),
        "--quiet",
        "--svg",
        svg.to_str().expect("text"),
    ]);
    let said = String::from_utf8_lossy(&run.stdout).into_owned();
    assert_eq!(
        run.status.code(),
        Some(0),
        "{said}{}",
        String::from_utf8_lossy(&run.stderr)
    );
    let rows: Vec<Vec<f64>> = said
        .lines()
        .skip(1)
        .map(|l| l.split(',').map(|c| c.parse().expect("number")).collect())
        .collect();
    assert_eq!(rows.len(), 4);
    assert!(
        rows[0][2] > rows[2][2] && rows.iter().all(|r| r[3] >= 0.0),
        "{said}"
    );
    assert!(
        std::fs::read_to_string(&svg)
            .expect("drawn")
            .contains("<svg")
    );
    let bad = temporary("bad-plan.toml", &text.replace("\"service\"", "\"bliss\""));
    let run = lab(&["experiment", bad.to_str().expect("text")]);
    assert_eq!(run.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&run.stderr).contains("figures[0]"));
    [plan, svg, bad]
        .iter()
        .for_each(|p| std::fs::remove_file(p).expect("removed"));
}

#[test]
fn verbs_and_flags_of_earlier_versions_do_the_same_and_are_not_shown() {
    let scenario = scenario("try.toml");
    let (old, new) = (temporary("old.events", ""), temporary("new.events", ""));
    let play = |verb: &str, flag: &str, file: &PathBuf| {
        let run = lab(&[
            verb,
            &scenario,
            "--set",
            "seconds=2.0",
            flag,
            file.to_str().expect("text"),
        ]);
        assert_eq!(run.status.code(), Some(0));
        run.stdout
    };
    let said = play("run", "--ledger", &old);
    assert_eq!(said, play("simulate", "--event-log", &new));
    let events = |file: &PathBuf| std::fs::read_to_string(file).expect("there");
    assert!(events(&new).lines().count() > 100);
    assert_eq!(events(&old), events(&new));
    [old, new]
        .iter()
        .for_each(|p| std::fs::remove_file(p).expect("removed"));

    let help = |words: &[&str]| String::from_utf8(lab(words).stdout).expect("text");
    let (verbs, flags) = (help(&["--help"]), help(&["simulate", "--help"]));
    assert!(
        verbs.contains("simulate") && verbs.contains("emulate"),
        "{verbs}"
    );
    assert!(
        !verbs.contains("\n  run") && !verbs.contains("\n  stage"),
        "{verbs}"
    );
    assert!(
        flags.contains("--event-log") && !flags.contains("ledger"),
        "{flags}"
    );
    assert!(help(&["stage", "--help"]).contains("emulator"));
}
