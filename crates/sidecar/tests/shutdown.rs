//! Shutdowns in which system calls fail.

mod support;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use support::Harness;
use support::recording::Step;

/// Fewer than there are clients, so that the sidecar cannot accept them all at once.
const OPTIONS: &str = "servers=1 descriptors=32";
const CLIENTS: usize = 40;
/// Long enough for the sidecar to handle SIGTERM, and shorter than it accepts connections after it.
const SIGNAL_HANDLED: &str = "100ms";
/// Longer than the sidecar accepts connections after SIGTERM.
const ACCEPT_PERIOD_OVER: &str = "900ms";
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

fn control(harness: &mut Harness, verb: &str, text: &str) {
    let party = "P";
    harness.step(Step { party, verb, text });
}

/// Connects a client and sends a complete request.
fn send_request(sidecar: &str, number: usize) -> TcpStream {
    let mut client = TcpStream::connect(sidecar).expect("connection is established");
    client
        .set_read_timeout(Some(RESPONSE_TIMEOUT))
        .expect("timeout is set");
    let request = format!(
        "GET /api HTTP/1.1\r\nHost: n\r\nX-Request-ID: q{number}\r\n\
         X-Priority-Class: look\r\nX-Timeout: 2000m\r\n\r\n"
    );
    client
        .write_all(request.as_bytes())
        .expect("request is sent");
    client
}

/// The start of the response; empty if the connection ends without one.
fn read_response(mut client: TcpStream) -> String {
    let mut response = [0; 12];
    match client.read_exact(&mut response) {
        Ok(()) => String::from_utf8_lossy(&response).into_owned(),
        Err(_) => String::new(),
    }
}

/// Guards against a listener that closes over the requests in its accept queue because one accept
/// failed.
#[test]
fn shutdown_serves_the_whole_accept_queue_although_accepts_fail() {
    let mut harness = Harness::start("shutdown-accepts", OPTIONS);
    control(&mut harness, "stop", "");
    control(&mut harness, "pause", SIGNAL_HANDLED);
    control(&mut harness, "halt", "");
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| send_request(harness.listen_address(), number))
        .collect();
    control(&mut harness, "pause", ACCEPT_PERIOD_OVER);
    control(&mut harness, "resume", "");
    let responses: Vec<_> = clients.into_iter().map(read_response).collect();
    let unanswered = responses.iter().filter(|text| text.is_empty()).count();
    assert_eq!(unanswered, 0, "{responses:?}");
    control(&mut harness, "exit", "");
}
