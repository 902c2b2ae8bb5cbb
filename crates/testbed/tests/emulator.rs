//! The stage: real sidecars among stand-ins, on free loopback ports.

use std::path::{Path, PathBuf};

use arrowstand_testbed::emulator::{Options, run};
use arrowstand_testbed::event_log::RequestOutcome;
use arrowstand_testbed::report::Report;
use arrowstand_testbed::scenario::ScenarioFile;

/// The sidecar's program, which a test of the whole workspace builds beside the lab's.
fn program() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_arrowstand-testbed")).with_file_name("arrowstand");
    assert!(
        path.is_file(),
        "{} is missing: test the whole workspace",
        path.display()
    );
    path
}

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

fn stage(name: &str, more: &str) -> Report {
    let scenario = ScenarioFile::read(name, &format!("name = \"{name}\"\n{SMALL}{more}"))
        .unwrap_or_else(|f| panic!("{f}"));
    let folder =
        std::env::temp_dir().join(format!("arrowstand-testbed-{name}-{}", std::process::id()));
    let options = Options {
        program: program(),
        folder: Some(folder.clone()),
    };
    let report = run(&scenario.day, &options, None).expect("played");
    let _ = std::fs::remove_dir_all(folder);
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
    assert_eq!(report.counter_differences, Vec::<String>::new(), "{report}");
    let ended: u64 = report
        .classes
        .iter()
        .flat_map(|c| &c.ended)
        .map(|e| e.1)
        .sum();
    assert_eq!(
        ended, report.arrivals,
        "every wish comes to an end: {report}"
    );
    report
}

#[test]
fn a_quiet_day_is_served_and_counted_alike_twice() {
    let (first, second) = (stage("quiet", ""), stage("quiet-again", ""));
    assert_eq!(first.arrivals, second.arrivals);
    assert_eq!(first.count(RequestOutcome::Served), first.accepted);
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
fn silence_mid_request_and_a_vanished_machine_lose_no_answer() {
    let trouble = "[[fault]]\nkind = \"silence\"\nat_s = 1.0\nfor_s = 1.5\nservers = [\"s0\"]\n";
    let report = stage("silence", trouble);
    assert!(
        report.count(RequestOutcome::Served) > report.accepted / 2,
        "{report}"
    );
}

#[test]
fn resets_spoilt_answers_and_a_crash_keep_the_rules() {
    let trouble = r#"
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
    let report = stage("faults", trouble);
    // Half of what ran at s0 and s1 for a second was lost with its connection: unsafe work among it must fail.
    assert!(report.count(RequestOutcome::Failed) > 0, "{report}");
}

#[test]
fn sidecars_that_are_told_to_end_while_job_servers_are_slow_answer_what_they_owe() {
    let trouble = r#"
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
    let report = stage("ending", trouble);
    assert!(
        report
            .remarks
            .iter()
            .any(|r| r.starts_with("counters compared")),
        "{report}"
    );
}

#[test]
fn killed_sidecars_come_back_and_a_drained_server_gets_nothing_new() {
    let trouble = r#"
[[fault]]
kind = "roll"
at_s = 1.0
for_s = 1.5
part = 1.0
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
    let report = stage("killed", trouble);
    assert!(
        report.remarks.iter().any(|r| r.contains("were killed")),
        "{report}"
    );
}

/// Guards against a file that one sidecar reads at its start while it is written for the next.
#[test]
fn many_sidecars_start_at_once() {
    let day = SMALL
        .replace("seconds = 4.0", "seconds = 1.0")
        .replace("count = 2", "count = 60");
    let scenario = ScenarioFile::read("many", &format!("name = \"many\"\n{day}"))
        .unwrap_or_else(|f| panic!("{f}"));
    let folder =
        std::env::temp_dir().join(format!("arrowstand-testbed-many-{}", std::process::id()));
    let played = run(
        &scenario.day,
        &Options {
            program: program(),
            folder: Some(folder.clone()),
        },
        None,
    );
    let report = played.expect("all start");
    let _ = std::fs::remove_dir_all(folder);
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
}

#[test]
fn a_sidecar_that_ends_at_its_start_is_told_at_once() {
    let scenario = ScenarioFile::read("ends", &format!("name = \"ends\"\n{SMALL}"))
        .unwrap_or_else(|f| panic!("{f}"));
    let folder =
        std::env::temp_dir().join(format!("arrowstand-testbed-ends-{}", std::process::id()));
    let options = Options {
        program: "/bin/false".into(),
        folder: Some(folder.clone()),
    };
    let fault = run(&scenario.day, &options, None).err();
    let _ = std::fs::remove_dir_all(folder);
    assert_eq!(
        fault.map(|e| e.to_string()).as_deref(),
        Some("n0 ended at its start (exit status: 1): nothing in its log"),
    );
}

#[test]
fn a_stage_that_stood_still_says_that_its_figures_are_not_to_be_relied_on() {
    use nix::sys::signal::{Signal, kill};
    use std::process::{Command, Stdio};
    use std::time::Duration;
    let folder =
        std::env::temp_dir().join(format!("arrowstand-testbed-late-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("late.toml");
    std::fs::write(&path, SMALL).expect("written");
    let child = Command::new(env!("CARGO_BIN_EXE_arrowstand-testbed"))
        .args([
            "stage".as_ref(),
            path.as_os_str(),
            "--folder".as_ref(),
            folder.as_os_str(),
        ])
        .stdout(Stdio::piped())
        .spawn()
        .expect("starts");
    let pid = nix::unistd::Pid::from_raw(child.id() as i32);
    // The day begins within two seconds and lasts four.
    std::thread::sleep(Duration::from_millis(3_000));
    kill(pid, Signal::SIGSTOP).expect("stopped");
    std::thread::sleep(Duration::from_millis(1_000));
    kill(pid, Signal::SIGCONT).expect("goes on");
    let said = child.wait_with_output().expect("ends");
    let text = String::from_utf8_lossy(&said.stdout).into_owned();
    let _ = std::fs::remove_dir_all(folder);
    assert_eq!(said.status.code(), Some(1), "{text}");
    assert!(text.contains("UNRELIABLE: the machine ran late"), "{text}");
}
