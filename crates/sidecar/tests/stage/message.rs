//! Reads one message and leaves out what differs from run to run.

use std::io::Read;
use std::net::TcpStream;

/// One message with its headers in order, without what differs from run to run.
pub fn read_message(link: &mut TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        link.read_exact(&mut byte)
            .unwrap_or_else(|e| panic!("a whole head: {e} after {head:?}"));
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("text").to_lowercase();
    let (first, rest) = head.split_once("\r\n").expect("a first line");
    let mut headers: Vec<String> = rest
        .split("\r\n")
        .filter(|l| !l.is_empty())
        .map(str::to_owned)
        .collect();
    let length = headers
        .iter()
        .find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
    headers.retain(|l| !l.starts_with("date:"));
    for header in &mut headers {
        if let Some(micros) = header
            .strip_prefix("x-timeout: ")
            .and_then(|t| t.strip_suffix('u'))
        {
            let seconds = micros.parse::<f64>().expect("a number") / 1e6;
            *header = format!("x-timeout: at most {} s", seconds.ceil());
        } else if let Some(seconds) = header.strip_prefix("retry-after: ") {
            let ok = seconds.parse::<f64>().expect("a number") <= 2.0;
            *header = format!("retry-after: at most 2 s, {ok}");
        } else if header.starts_with("host: ") {
            *header = "host: (address)".to_owned();
        }
    }
    headers.sort();
    let mut body = vec![0; length.unwrap_or(0)];
    link.read_exact(&mut body).expect("a whole body");
    let first = first.replace("http/", "HTTP/");
    format!(
        "{first}\n{}\n\n{}",
        headers.join("\n"),
        String::from_utf8_lossy(&body)
    )
}
