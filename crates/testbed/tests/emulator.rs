//! The emulator: real sidecars among emulated clients, servers and discovery, on free loopback
//! ports.

mod common;

use common::{TESTBED, TemporaryPath, sidecar_program};

use arrowstand_testbed::emulator::{EmulatorError, Options, run};
use arrowstand_testbed::event_log::RequestOutcome;
use arrowstand_testbed::report::Report;
use arrowstand_testbed::scenario::ScenarioFile;

/// Three servers, two sidecars, and a load that they bear easily.
const SMALL: &str = r#"
seconds = 4.0
[[machine_type]]
name = "std"
cores = 2
error_rate = 0.0
handshake_ms = 0.5
[[servers]]
machine_type = "std"
count = 3
[sidecars]
count = 2
[load]
rate = 60.0
[clients]
retries = 0
timeout_share = [1.0, 1.0]
[[class]]
name = "job-status"
share = 0.6
work_ms = 8.0
dist = "fixed"
[[class]]
name = "book-slot"
share = 0.4
work_ms = 10.0
dist = "fixed"
latency_objective_ms = 800.0
deadline_ms = 2000.0
idempotency = "unsafe"
"#;

fn scenario(name: &str, text: &str) -> ScenarioFile {
    ScenarioFile::read(name, &format!("name = \"{name}\"\n{text}"))
        .unwrap_or_else(|errors| panic!("{errors}"))
}

fn play(name: &str, text: &str, program: std::path::PathBuf) -> Result<Report, EmulatorError> {
    let folder = TemporaryPath::new(name);
    let options = Options {
        program,
        folder: Some(folder.path().to_owned()),
    };
    run(&scenario(name, text).scenario, &options, None)
}

/// Plays the small scenario with some more text, and checks what every run must keep.
fn emulate(name: &str, more: &str) -> Report {
    let report = play(name, &format!("{SMALL}{more}"), sidecar_program()).expect("played");
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
    assert_eq!(report.counter_differences, Vec::<String>::new(), "{report}");
    let ended: u64 = report
        .classes
        .iter()
        .flat_map(|class| &class.ended)
        .map(|(_, count)| count)
        .sum();
    assert_eq!(
        ended, report.arrivals,
        "every arrival comes to an end: {report}"
    );
    report
}

#[test]
fn without_faults_every_request_is_served_and_two_runs_count_alike() {
    let first = emulate("quiet", "");
    let second = emulate("quiet-again", "");
    assert_eq!(first.arrivals, second.arrivals);
    assert_eq!(first.outcome_count(RequestOutcome::Served), first.accepted);
    assert_eq!(first.responses, second.responses);
    assert!(
        first
            .remarks
            .iter()
            .any(|r| r.starts_with("counters compared")),
        "{first}"
    );
}

#[test]
fn a_server_that_falls_silent_mid_request_leaves_no_request_without_a_response() {
    let fault = "[[fault]]\nkind = \"silence\"\nat_s = 1.0\nfor_s = 1.5\nservers = [\"s0\"]\n";
    let report = emulate("silence", fault);
    assert!(
        report.outcome_count(RequestOutcome::Served) > report.accepted / 2,
        "{report}"
    );
}

#[test]
fn resets_malformed_responses_and_a_crash_violate_no_rule() {
    let fault = r#"
[[fault]]
kind = "resets"
at_s = 0.5
for_s = 1.0
servers = ["s0"]
share = 0.5
[[fault]]
kind = "spoilt"
at_s = 1.0
for_s = 1.0
servers = ["s1"]
share = 0.5
[[fault]]
kind = "crash"
at_s = 2.0
for_s = 1.0
servers = ["s2"]
"#;
    let report = emulate("faults", fault);
    // Half of what ran at s0 and s1 for a second was lost with its connection: unsafe work among it
    // must fail.
    assert!(report.outcome_count(RequestOutcome::Failed) > 0, "{report}");
}

#[test]
fn sidecars_that_shut_down_while_servers_are_slow_respond_to_all_they_accepted() {
    let fault = r#"
[[fault]]
kind = "slow"
at_s = 0.5
for_s = 3.0
servers = ["s0", "s1"]
factor = 6.0
[[fault]]
kind = "restart_all"
at_s = 1.5
down_s = 1.0
kill = false
"#;
    let report = emulate("ending", fault);
    assert!(
        report
            .remarks
            .iter()
            .any(|r| r.starts_with("counters compared")),
        "{report}"
    );
}

#[test]
fn killed_sidecars_restart_and_a_draining_server_gets_no_new_attempt() {
    let fault = r#"
[[fault]]
kind = "roll"
at_s = 1.0
for_s = 1.5
target_share = 1.0
batch = 0.5
down_s = 0.3
[[fault]]
kind = "drain"
at_s = 0.2
for_s = 3.6
servers = ["s1"]
[discovery]
notice_ms = 100.0
"#;
    let report = emulate("killed", fault);
    assert!(
        report.remarks.iter().any(|r| r.contains("were killed")),
        "{report}"
    );
}

/// No sidecar reads a file at its start that is being written for the next one.
#[test]
fn sixty_sidecars_that_start_at_once_become_ready() {
    let text = SMALL
        .replace("seconds = 4.0", "seconds = 1.0")
        .replace("count = 2", "count = 60");
    let report = play("many", &text, sidecar_program()).expect("all start");
    assert_eq!(report.sidecars, 60);
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
}

#[test]
fn a_sidecar_that_ends_at_its_start_is_reported_with_its_status() {
    let error = play("ends", SMALL, "/bin/false".into()).err();
    assert_eq!(
        error.map(|error| error.to_string()).as_deref(),
        Some("n0 ended at its start (exit status: 1): nothing in its log"),
    );
}

#[test]
fn a_program_that_cannot_be_started_is_named() {
    let error = play("nowhere", SMALL, "/nowhere".into()).err();
    assert_eq!(
        error.map(|error| error.to_string()).as_deref(),
        Some("/nowhere: No such file or directory (os error 2)"),
    );
}

#[test]
fn a_scenario_with_too_many_pairs_is_rejected() {
    let text = SMALL
        .replace("count = 3", "count = 201")
        .replace("count = 2\n[load]", "count = 100\n[load]");
    let error = play("pairs", &text, "/bin/false".into()).err();
    assert_eq!(
        error.map(|error| error.to_string()).as_deref(),
        Some("20100 pairs of server and sidecar are more than 20000"),
    );
}

#[test]
fn an_emulator_that_stood_still_calls_its_figures_unreliable() {
    use nix::sys::signal::{Signal, kill};
    use std::process::{Command, Stdio};
    use std::time::Duration;
    let folder = TemporaryPath::new("late");
    std::fs::create_dir_all(folder.path()).expect("a folder");
    let scenario = folder.path().join("late.toml");
    std::fs::write(&scenario, SMALL).expect("written");
    let child = Command::new(TESTBED)
        .args([
            "emulate".as_ref(),
            scenario.as_os_str(),
            "--folder".as_ref(),
            folder.path().as_os_str(),
        ])
        .stdout(Stdio::piped())
        .spawn()
        .expect("starts");
    let pid = nix::unistd::Pid::from_raw(i32::try_from(child.id()).expect("a process id"));
    // The run begins within two seconds and lasts four.
    std::thread::sleep(Duration::from_secs(3));
    kill(pid, Signal::SIGSTOP).expect("stopped");
    std::thread::sleep(Duration::from_secs(1));
    kill(pid, Signal::SIGCONT).expect("goes on");
    let output = child.wait_with_output().expect("ends");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("UNRELIABLE: the machine ran late"), "{text}");
}
