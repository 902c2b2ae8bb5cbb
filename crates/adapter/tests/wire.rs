//! The adapter end to end on hand-written lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const ATTACH: &str = r#"{"msg":"attach","i":"sidecar/0","random-seed":3,"conf":{"az":"a","zones":["a"],"unheard-of":{"x":1},"request-classes":[{"name":"get","objective-ms":200.0,"deadline-ms":500.0,"semantics":"pure"}],"permissions":{"probes":true}}}"#;
const LIST: &str = r#"{"msg":"roster","table":0,"members-list":[{"launched-ms":null,"condition":"in_service","model":"m","server":"10.0.0.1:80","pod":0,"area":"a","units":1}]},{"msg":"roster-change","i":"sidecar/0","table":0,"kind":"warm_copy","gen":1}"#;
const REQUEST: &str = r#"{"msg":"request","i":"sidecar/0","txn":"445f20855d3a91c4","grade":"get","billing":null,"name-key":null,"left-ms":400.0,"size-hint-ms":null,"again-by-client":false,"is-write":false}"#;

fn batch(clock: f64, events: &[&str]) -> String {
    format!(
        "{{\"clock-ms\":{clock},\"arrivals\":[{}]}}\n",
        events.join(",")
    )
}

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_arrowstand-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    // An adapter that has already stopped at a bad line closes its end.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("adapter ends")
}

#[test]
fn a_request_is_sent_and_every_batch_gets_one_line() {
    let served = r#"{"msg":"response","i":"sidecar/0","txn":"445f20855d3a91c4","finished":true,"server":"10.0.0.1:80","rc":"served","n":0,"time-taken-ms":18.5,"stats":null}"#;
    let exit = r#"{"msg":"exit","i":"sidecar/0"}"#;
    let input = batch(1.0, &[])
        + &batch(2.0, &[ATTACH, LIST])
        + &batch(3.5, &[REQUEST])
        + &batch(22.0, &[served, exit]);
    let output = run(&input);
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

#[test]
fn bad_input_gets_one_plain_line_and_a_failure() {
    let cases = [
        ("not json\n".to_owned(), "bad batch"),
        (
            batch(1.0, &[r#"{"msg":"sing","i":"sidecar/0"}"#]),
            "unknown instance",
        ),
        (
            batch(1.0, &[ATTACH, r#"{"msg":"sing","i":"sidecar/0"}"#]),
            "unknown message",
        ),
        (
            batch(
                1.0,
                &[r#"{"msg":"attach","i":"sidecar/0","random-seed":1}"#],
            ),
            "conf is missing",
        ),
        (
            batch(1.0, &[ATTACH, r#"{"msg":"wakeup","i":"sidecar/0"}"#]),
            "cookie is missing",
        ),
        (
            batch(
                1.0,
                &[ATTACH, r#"{"msg":"dropped","i":"sidecar/0","txn":"xyz"}"#],
            ),
            "not a request id",
        ),
    ];
    for (input, expected) in cases {
        let output = run(&input);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{input}");
        assert_eq!(errors.lines().count(), 1, "{errors}");
        assert!(errors.contains(expected), "{errors}");
    }
}

#[test]
fn invalid_settings_are_named() {
    let attach =
        r#"{"msg":"attach","i":"sidecar/0","random-seed":3,"conf":{"request-classes":[]}}"#;
    let output = run(&batch(1.0, &[attach]));
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("setting classes"));
}
