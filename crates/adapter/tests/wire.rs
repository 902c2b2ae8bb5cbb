//! End-to-end tests of the adapter with hand-written input lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const ATTACH: &str = concat!(
    r#"{"msg":"attach","i":"sidecar/0","random-seed":3,"conf":{"az":"a","zones":["a"],"#,
    r#""unheard-of":{"x":1},"request-classes":[{"name":"get","objective-ms":200.0,"#,
    r#""deadline-ms":500.0,"semantics":"pure"}],"permissions":{"probes":true}}}"#,
);
const LIST: &str = concat!(
    r#"{"msg":"roster","table":0,"members-list":[{"launched-ms":null,"condition":"in_service","#,
    r#""model":"m","server":"10.0.0.1:80","pod":0,"area":"a","units":1}]},{"msg":"roster-change","#,
    r#""i":"sidecar/0","table":0,"kind":"warm_copy","gen":1}"#,
);
const REQUEST: &str = concat!(
    r#"{"msg":"request","i":"sidecar/0","txn":"445f20855d3a91c4","grade":"get","billing":null,"#,
    r#""name-key":null,"left-ms":400.0,"size-hint-ms":null,"again-by-client":false,"#,
    r#""is-write":false}"#,
);

fn batch(clock: f64, events: &[&str]) -> String {
    format!(
        "{{\"clock-ms\":{clock},\"arrivals\":[{}]}}\n",
        events.join(",")
    )
}

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_arrowstand-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    // The write fails if the adapter has already exited because of an invalid line.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("adapter ends")
}

#[test]
fn a_request_is_sent_and_every_batch_gets_a_one_line_reply() {
    let served = concat!(
        r#"{"msg":"response","i":"sidecar/0","txn":"445f20855d3a91c4","finished":true,"#,
        r#""server":"10.0.0.1:80","rc":"served","n":0,"time-taken-ms":18.5,"stats":null}"#,
    );
    let exit = r#"{"msg":"exit","i":"sidecar/0"}"#;
    let input = batch(1.0, &[])
        + &batch(2.0, &[ATTACH, LIST])
        + &batch(3.5, &[REQUEST])
        + &batch(22.0, &[served, exit]);

    let output = run_adapter(&input);

    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let text = String::from_utf8(output.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4);
    assert_eq!(lines[0], r#"{"out":[]}"#);
    let sent =
        r#""msg":"transmit","i":"sidecar/0","txn":"445f20855d3a91c4","server":"10.0.0.1:80""#;
    assert!(lines[2].contains(sent), "{}", lines[2]);
    assert!(
        lines
            .iter()
            .all(|line| serde_json::from_str::<serde_json::Value>(line).is_ok())
    );
}

/// Events that cannot be handled and the expected error messages.
const INVALID_EVENTS: [(&str, &str); 16] = [
    (
        r#"{"msg":"sing","i":"sidecar/1"}"#,
        r#"unknown instance "sidecar/1""#,
    ),
    (
        r#"{"msg":"sing","i":"sidecar/0"}"#,
        r#"unknown message "sing""#,
    ),
    (r#"{"msg":"wakeup"}"#, "wakeup: field i is missing"),
    (
        r#"{"msg":"wakeup","i":"sidecar/0"}"#,
        "wakeup: field cookie is missing",
    ),
    (
        r#"{"msg":"dropped","i":"sidecar/0"}"#,
        "dropped: field txn is missing",
    ),
    (
        r#"{"msg":"dropped","i":"sidecar/0","txn":"xyz"}"#,
        r#"dropped: txn "xyz" is not a request id"#,
    ),
    (
        r#"{"msg":"request","i":"sidecar/0","txn":"1","grade":"put"}"#,
        r#"request: unknown grade "put""#,
    ),
    (
        r#"{"msg":"request","i":"sidecar/0","txn":"1"}"#,
        "request: field grade is missing",
    ),
    (
        r#"{"msg":"response","i":"sidecar/0","txn":"1","n":0,"server":"s"}"#,
        "response: field rc is missing",
    ),
    (
        r#"{"msg":"health","i":"sidecar/0","server":"s","rc":"fine"}"#,
        r#"unknown rc "fine""#,
    ),
    (
        r#"{"msg":"roster-change","i":"sidecar/0","kind":"some"}"#,
        r#"roster-change: unknown kind "some""#,
    ),
    (
        r#"{"msg":"roster-change","i":"sidecar/0","kind":"total"}"#,
        "roster-change: field table is missing",
    ),
    (
        r#"{"msg":"roster-change","i":"sidecar/0","kind":"total","table":7}"#,
        "roster-change: no roster 7",
    ),
    (
        r#"{"msg":"roster","table":0}"#,
        "roster: field members-list is missing",
    ),
    (
        r#"{"msg":"roster","table":0,"members-list":[{"condition":"lost","server":"s"}]}"#,
        r#"roster: unknown condition "lost""#,
    ),
    (
        r#"{"msg":"whisper","i":"sidecar/0","by":1,"contents":"?"}"#,
        "contents is not base64: Invalid symbol 63, offset 0.",
    ),
];

/// Runs the adapter and returns the message of the only line on standard error.
fn error_message(input: &str) -> String {
    let output = run_adapter(input);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "{input}");
    assert_eq!(errors.lines().count(), 1, "{errors}");
    let message = errors.trim_end().strip_prefix("arrowstand-adapter: ");
    message.expect("the program's name").to_owned()
}

#[test]
fn an_invalid_event_ends_with_a_one_line_error_and_a_failure_status() {
    for (event, expected) in INVALID_EVENTS {
        assert_eq!(error_message(&batch(1.0, &[ATTACH, event])), expected);
    }
}

#[test]
fn an_invalid_batch_ends_with_a_one_line_error_and_a_failure_status() {
    let error = error_message("not json\n");
    assert_eq!(error, "bad batch: expected ident at line 1 column 2");
}

#[test]
fn an_attach_without_settings_or_seed_is_an_error() {
    let without_settings = r#"{"msg":"attach","i":"sidecar/0","random-seed":1}"#;
    let error = error_message(&batch(1.0, &[without_settings]));
    assert_eq!(error, "attach: field conf is missing");

    let without_seed = r#"{"msg":"attach","i":"sidecar/0","conf":{"request-classes":[]}}"#;
    let error = error_message(&batch(1.0, &[without_seed]));
    assert_eq!(error, "attach: field random-seed is missing");
}

#[test]
fn the_error_has_the_invalid_setting() {
    let attach =
        r#"{"msg":"attach","i":"sidecar/0","random-seed":3,"conf":{"request-classes":[]}}"#;

    let error = error_message(&batch(1.0, &[attach]));

    assert_eq!(error, "setting classes: at least one class is needed");
}
