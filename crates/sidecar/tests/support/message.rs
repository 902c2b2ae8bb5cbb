//! Reads an HTTP message and normalizes the parts that differ from run to run.

use std::io::Read as _;
use std::net::TcpStream;

const MICROS_PER_SECOND: f64 = 1e6;
/// The longest Retry-After that the sidecar may send, in seconds.
const MAX_RETRY_AFTER_SECONDS: f64 = 2.0;
/// The prefix of the counters whose values depend on how long the test runs.
const TIME_DEPENDENT_COUNTERS: &str = "polls_";

/// Reads one message, with its headers sorted and normalized.
///
/// # Panics
/// If the message is truncated or cannot be parsed.
pub(super) fn read_message(connection: &mut TcpStream) -> String {
    let head = read_head(connection);
    let (first_line, rest) = head.split_once("\r\n").expect("head has a first line");
    let mut headers: Vec<String> = rest
        .split("\r\n")
        .filter(|line| !line.is_empty())
        .map(str::to_owned)
        .collect();
    let body_bytes = headers
        .iter()
        .find_map(|header| header.strip_prefix("content-length: ")?.parse().ok());
    headers.retain(|header| !header.starts_with("date:"));
    for header in &mut headers {
        if let Some(replacement) = normalize_header(header) {
            *header = replacement;
        }
    }
    headers.sort();
    let mut body = vec![0; body_bytes.unwrap_or(0)];
    connection.read_exact(&mut body).expect("body is complete");
    let first_line = first_line.replace("http/", "HTTP/");
    format!(
        "{first_line}\n{}\n\n{}",
        headers.join("\n"),
        normalize_body(&String::from_utf8_lossy(&body))
    )
}

/// The body without the values of counters that depend on how long the test runs.
fn normalize_body(body: &str) -> String {
    let normalize_line = |line: &str| match line.split_once(' ') {
        Some((name, count)) if name.starts_with(TIME_DEPENDENT_COUNTERS) => {
            let end = if count.ends_with('\n') { "\n" } else { "" };
            format!("{name} (varies){end}")
        }
        _ => line.to_owned(),
    };
    body.split_inclusive('\n').map(normalize_line).collect()
}

/// Reads the head and returns it in lower case. It is read byte by byte, so that nothing behind it
/// is consumed.
fn read_head(connection: &mut TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        connection
            .read_exact(&mut byte)
            .unwrap_or_else(|error| panic!("head is incomplete: {error} after {head:?}"));
        head.push(byte[0]);
    }
    String::from_utf8(head)
        .expect("head is UTF-8")
        .to_lowercase()
}

/// The replacement of a header whose value differs from run to run; `None` for any other header.
fn normalize_header(header: &str) -> Option<String> {
    if let Some(timeout) = header.strip_prefix("x-timeout: ") {
        let micros = timeout
            .strip_suffix('u')?
            .parse::<f64>()
            .expect("value is a number");
        let seconds = micros / MICROS_PER_SECOND;
        return Some(format!("x-timeout: at most {} s", seconds.ceil()));
    }
    if let Some(seconds) = header.strip_prefix("retry-after: ") {
        let seconds = seconds.parse::<f64>().expect("value is a number");
        let is_short = seconds <= MAX_RETRY_AFTER_SECONDS;
        return Some(format!("retry-after: at most 2 s, {is_short}"));
    }
    header
        .starts_with("host: ")
        .then(|| "host: (address)".to_owned())
}
