//! The worst that clients, servers and discovery can send at once, at the smallest limits that a
//! deployment may set: memory and descriptors stay within them, and a well-behaved client gets a
//! response to each request.

mod support;

use std::fs;
use std::io::{Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use support::recording::Step;
use support::{Harness, until};

/// The least that a deployment gives a sidecar.
const MEMORY_MB: u64 = 32;
const DESCRIPTORS: usize = 256;

/// Each round has some new bad clients and one request of a well-behaved one.
const ROUNDS: usize = 40;
const BAD_CLIENTS_PER_ROUND: usize = 12;
const MAX_BAD_CLIENTS: usize = 400;
/// The longest wait of a well-behaved client.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

const GOOD_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
const ENDLESS_RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n";
const ENDLESS_RESPONSE_PART_BYTES: usize = 16 * 1024;

fn request_head(id: &str, timeout_ms: u32, body_bytes: usize) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: n\r\nX-Request-ID: {id}\r\nX-Priority-Class: book\r\n\
         X-Timeout: {timeout_ms}m\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
}

/// A client that keeps what it can get: a head or body without end, a flood behind a request, or
/// silence.
fn bad_client(sidecar: &str, number: usize) -> Option<TcpStream> {
    let mut connection = TcpStream::connect(sidecar).ok()?;
    connection.set_nonblocking(true).ok()?;
    let input = match number % 4 {
        0 => format!("GET /api HTTP/1.1\r\nX-Long: {}", "a".repeat(100_000)),
        1 => request_head(&format!("b{number}"), 9_000, 60_000) + &"b".repeat(59_999),
        2 => {
            request_head(&format!("f{number}"), 9_000, 0)
                + &"GET / HTTP/1.1\r\nHost: x\r\n\r\n".repeat(30_000)
        }
        _ => String::new(),
    };
    // What the operating system does not take now is not sent: the sidecar reads no more.
    let _ = connection.write(input.as_bytes());
    Some(connection)
}

/// A connection at a server, and whether its response is one without end.
struct ServerConnection {
    stream: TcpStream,
    is_endless: bool,
}

impl ServerConnection {
    /// Reads what there is and responds; false once the connection has ended.
    fn respond(&mut self, request_count: &mut usize, endless_part: &[u8]) -> bool {
        match self.stream.read(&mut [0; 4096]) {
            Ok(0) => return false,
            Ok(_) if !self.is_endless => {
                *request_count += 1;
                self.is_endless = *request_count % 2 == 0;
                let response = if self.is_endless {
                    ENDLESS_RESPONSE_HEAD
                } else {
                    GOOD_RESPONSE
                };
                let _ = self.stream.write(response.as_bytes());
            }
            _ => {}
        }
        if self.is_endless {
            let _ = self.stream.write(endless_part);
        }
        true
    }
}

/// A server that responds to every other request, and starts a response without end to the others.
fn serve(listener: &TcpListener, is_over: &AtomicBool) {
    let mut connections: Vec<ServerConnection> = Vec::new();
    let mut request_count = 0;
    let endless_part = vec![b'z'; ENDLESS_RESPONSE_PART_BYTES];
    while !is_over.load(Ordering::Relaxed) {
        while let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true).expect("not blocking");
            connections.push(ServerConnection {
                stream,
                is_endless: false,
            });
        }
        connections.retain_mut(|connection| connection.respond(&mut request_count, &endless_part));
        thread::sleep(Duration::from_millis(1));
    }
}

fn spawn_servers(harness: &Harness, is_over: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    harness
        .servers()
        .into_iter()
        .map(|listener| {
            let is_over = Arc::clone(is_over);
            thread::spawn(move || serve(&listener, &is_over))
        })
        .collect()
}

/// Discovery sends a line without end.
fn send_endless_line(harness: &mut Harness) {
    let discovery = |verb, text| Step {
        party: "D1",
        verb,
        text,
    };
    harness.step(discovery("read", ""));
    let head = "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n";
    harness.step(discovery("send", head));
    for _ in 0..5 {
        harness.step(discovery("fill", "["));
    }
}

/// Sends a good request and returns whether it was served; fails the test if it gets no response.
fn is_good_request_served(sidecar: &str, round: usize) -> bool {
    let mut connection = TcpStream::connect(sidecar).expect("a usual client connects");
    connection
        .set_read_timeout(Some(CLIENT_TIMEOUT))
        .expect("a time-out");
    let request = request_head(&format!("u{round}"), 500, 4) + "slot";
    connection.write_all(request.as_bytes()).expect("sent");
    let mut response = [0; 512];
    let read = connection
        .read(&mut response)
        .unwrap_or_else(|error| panic!("request {round}: {error}"));
    let text = String::from_utf8_lossy(&response[..read]);
    let is_served = text.starts_with("HTTP/1.1 200");
    assert!(
        is_served || text.starts_with("HTTP/1.1 50"),
        "{round}: {text:?}"
    );
    is_served
}

/// The sidecar's counters, once it responds again.
fn counters_after_the_flood(sidecar: &str) -> String {
    until("the crowd's end", || {
        let mut connection = TcpStream::connect(sidecar).ok()?;
        connection
            .write_all(b"GET /counters HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            .ok()?;
        let mut text = String::new();
        connection.read_to_string(&mut text).ok()?;
        text.starts_with("HTTP/1.1 200").then_some(text)
    })
}

fn anonymous_memory_kb(harness: &Harness) -> u64 {
    let status = fs::read_to_string(harness.process_file("status")).expect("the program runs");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))
        .expect("a figure");
    line.trim()
        .trim_end_matches(" kB")
        .parse()
        .expect("a number")
}

fn open_descriptors(harness: &Harness) -> usize {
    fs::read_dir(harness.process_file("fd"))
        .expect("the program runs")
        .count()
}

#[test]
fn memory_and_descriptors_stay_within_the_least_limits_when_all_peers_misbehave() {
    let mut harness = Harness::start("floods", "servers=4 memory=32 deadline=4000");
    let is_over = Arc::new(AtomicBool::new(false));
    let servers = spawn_servers(&harness, &is_over);
    send_endless_line(&mut harness);
    let sidecar = harness.listen_address().to_owned();
    let mut bad_clients = Vec::new();
    let (mut most_kb, mut most_descriptors, mut served) = (0, 0, 0);
    for round in 0..ROUNDS {
        let first = BAD_CLIENTS_PER_ROUND * round;
        let numbers = first..first + BAD_CLIENTS_PER_ROUND;
        bad_clients.extend(numbers.filter_map(|number| bad_client(&sidecar, number)));
        bad_clients.truncate(MAX_BAD_CLIENTS);
        served += usize::from(is_good_request_served(&sidecar, round));
        most_kb = most_kb.max(anonymous_memory_kb(&harness));
        most_descriptors = most_descriptors.max(open_descriptors(&harness));
    }
    is_over.store(true, Ordering::Relaxed);
    for server in servers {
        server.join().expect("a server ends");
    }
    drop(bad_clients);
    println!(
        "at most {most_kb} kB and {most_descriptors} descriptors; {served} of {ROUNDS} usual requests served"
    );
    assert!(most_kb < MEMORY_MB * 1024, "{most_kb} kB of {MEMORY_MB} MB");
    assert!(
        most_descriptors < DESCRIPTORS,
        "{most_descriptors} descriptors of {DESCRIPTORS}"
    );
    assert!(served > 0, "no usual request was served");
    let counters = counters_after_the_flood(&sidecar);
    assert!(counters.contains("requests_accepted"), "{counters}");
}
