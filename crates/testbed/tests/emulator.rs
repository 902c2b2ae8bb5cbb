//! Tests of the emulator with real sidecar processes, on free loopback ports.

mod common;

use common::{TESTBED, TemporaryPath, sidecar_program};

use std::path::PathBuf;

use arrowstand_testbed::emulator::{EmulatorError, Options, run};
use arrowstand_testbed::event_log::RequestOutcome;
use arrowstand_testbed::report::Report;
use arrowstand_testbed::scenario::ScenarioFile;

/// Three servers and two sidecars, with a load far below the capacity.
const SMALL_SCENARIO: &str = r#"
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

fn parse_scenario(name: &str, text: &str) -> ScenarioFile {
    ScenarioFile::read(name, &format!("name = \"{name}\"\n{text}"))
        .unwrap_or_else(|errors| panic!("{errors}"))
}

fn run_emulator(name: &str, text: &str, program: PathBuf) -> Result<Report, EmulatorError> {
    let folder = TemporaryPath::new(name);
    let options = Options {
        program,
        folder: Some(folder.path().to_owned()),
    };
    run(&parse_scenario(name, text).scenario, &options, None)
}

/// Runs the small scenario with additional sections. Asserts that no rule is violated, that the
/// sidecars' counters agree with the event log and that every arrival ends.
fn run_and_check(name: &str, sections: &str) -> Report {
    let text = format!("{SMALL_SCENARIO}{sections}");
    let report = run_emulator(name, &text, sidecar_program()).expect("the emulation runs");
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
    assert_eq!(report.counter_differences, Vec::<String>::new(), "{report}");
    let ended = report.classes.iter().flat_map(|class| &class.ended);
    let ended: u64 = ended.map(|(_, count)| count).sum();
    assert_eq!(ended, report.arrivals, "every arrival ends: {report}");
    report
}

#[test]
fn without_faults_all_accepted_requests_are_served_and_two_runs_have_equal_counts() {
    let first = run_and_check("quiet", "");
    let second = run_and_check("quiet-again", "");
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
fn every_request_ends_and_most_are_served_when_a_server_falls_silent() {
    let fault = "[[fault]]\nkind = \"silence\"\nat_s = 1.0\nfor_s = 1.5\nservers = [\"s0\"]\n";
    let report = run_and_check("silence", fault);
    assert!(
        report.outcome_count(RequestOutcome::Served) > report.accepted / 2,
        "{report}"
    );
}

#[test]
fn resets_malformed_responses_and_a_crash_fail_requests_but_violate_no_rule() {
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
    let report = run_and_check("faults", fault);
    // Half of the requests that s0 and s1 run during their fault are lost with their connection;
    // the unsafe ones among them must fail.
    assert!(report.outcome_count(RequestOutcome::Failed) > 0, "{report}");
}

#[test]
fn sidecars_shut_down_while_servers_are_slow_respond_to_all_accepted_requests() {
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
    let report = run_and_check("ending", fault);
    assert!(
        report
            .remarks
            .iter()
            .any(|r| r.starts_with("counters compared")),
        "{report}"
    );
}

#[test]
fn killed_sidecars_and_a_draining_server_violate_no_rule() {
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
    let report = run_and_check("killed", fault);
    assert!(
        report.remarks.iter().any(|r| r.contains("were killed")),
        "{report}"
    );
}

/// Guards against sidecars that read a file while the emulator is writing it for the next sidecar.
#[test]
fn sixty_sidecars_started_at_once_become_ready() {
    let text = SMALL_SCENARIO
        .replace("seconds = 4.0", "seconds = 1.0")
        .replace("count = 2", "count = 60");
    let report = run_emulator("many", &text, sidecar_program()).expect("all sidecars start");
    assert_eq!(report.sidecars, 60);
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
}

#[test]
fn a_sidecar_that_exits_during_startup_is_reported_with_its_exit_status() {
    let error = run_emulator("ends", SMALL_SCENARIO, "/bin/false".into()).err();
    assert_eq!(
        error.map(|error| error.to_string()).as_deref(),
        Some("n0 exited during startup (exit status: 1): nothing in its log"),
    );
}

#[test]
fn a_program_that_cannot_be_started_is_named_in_the_error() {
    let error = run_emulator("nowhere", SMALL_SCENARIO, "/nowhere".into()).err();
    assert_eq!(
        error.map(|error| error.to_string()).as_deref(),
        Some("/nowhere: No such file or directory (os error 2)"),
    );
}

#[test]
fn a_scenario_with_too_many_server_sidecar_pairs_is_rejected() {
    let text = SMALL_SCENARIO
        .replace("count = 3", "count = 201")
        .replace("count = 2\n[load]", "count = 100\n[load]");
    let error = run_emulator("pairs", &text, "/bin/false".into()).err();
    assert_eq!(
        error.map(|error| error.to_string()).as_deref(),
        Some("20100 pairs of server and sidecar exceed the limit of 20000"),
    );
}

#[test]
fn an_emulator_paused_for_a_second_reports_its_figures_as_unreliable() {
    use nix::sys::signal::{Signal, kill};
    use std::process::{Command, Stdio};
    use std::time::Duration;
    let folder = TemporaryPath::new("late");
    std::fs::create_dir_all(folder.path()).expect("the folder can be created");
    let scenario = folder.path().join("late.toml");
    std::fs::write(&scenario, SMALL_SCENARIO).expect("the scenario can be written");
    let child = Command::new(TESTBED)
        .args([
            "emulate".as_ref(),
            scenario.as_os_str(),
            "--folder".as_ref(),
            folder.path().as_os_str(),
        ])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the emulator starts");
    let pid = nix::unistd::Pid::from_raw(i32::try_from(child.id()).expect("a process id"));
    // The run starts within two seconds and lasts four, so that the pause falls into it.
    std::thread::sleep(Duration::from_secs(3));
    kill(pid, Signal::SIGSTOP).expect("the emulator is paused");
    std::thread::sleep(Duration::from_secs(1));
    kill(pid, Signal::SIGCONT).expect("the emulator is resumed");
    let output = child.wait_with_output().expect("the emulator exits");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("UNRELIABLE: the machine ran late"), "{text}");
}
