//! Reads one HTTP message and leaves out what differs from run to run.

use std::io::Read as _;
use std::net::TcpStream;

const MICROS_PER_SECOND: f64 = 1e6;
/// The longest pause that the sidecar may advise, in seconds.
const MAX_RETRY_AFTER_SECONDS: f64 = 2.0;

/// Reads one message with its headers in order, without what differs from run to run.
///
/// # Panics
/// If the message is cut off or unreadable.
pub(super) fn read_message(connection: &mut TcpStream) -> String {
    let head = read_head(connection);
    let (first_line, rest) = head.split_once("\r\n").expect("a first line");
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
        if let Some(replacement) = without_run(header) {
            *header = replacement;
        }
    }
    headers.sort();
    let mut body = vec![0; body_bytes.unwrap_or(0)];
    connection.read_exact(&mut body).expect("a whole body");
    let first_line = first_line.replace("http/", "HTTP/");
    format!(
        "{first_line}\n{}\n\n{}",
        headers.join("\n"),
        String::from_utf8_lossy(&body)
    )
}

/// The head in lower case, byte by byte up to its end.
fn read_head(connection: &mut TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        connection
            .read_exact(&mut byte)
            .unwrap_or_else(|error| panic!("a whole head: {error} after {head:?}"));
        head.push(byte[0]);
    }
    String::from_utf8(head).expect("text").to_lowercase()
}

/// What stands for a header that differs from run to run.
fn without_run(header: &str) -> Option<String> {
    if let Some(timeout) = header.strip_prefix("x-timeout: ") {
        let micros = timeout.strip_suffix('u')?.parse::<f64>().expect("a number");
        let seconds = micros / MICROS_PER_SECOND;
        return Some(format!("x-timeout: at most {} s", seconds.ceil()));
    }
    if let Some(seconds) = header.strip_prefix("retry-after: ") {
        let seconds = seconds.parse::<f64>().expect("a number");
        let is_short = seconds <= MAX_RETRY_AFTER_SECONDS;
        return Some(format!("retry-after: at most 2 s, {is_short}"));
    }
    header
        .starts_with("host: ")
        .then(|| "host: (address)".to_owned())
}
