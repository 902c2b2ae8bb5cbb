//! The worst that clients, servers and discovery can send at once, at the smallest limits that a
//! deployment may set: memory and descriptors stay within them, and a well-behaved client gets a
//! response to each request.

#[path = "floods/peers.rs"]
mod peers;
mod support;

use std::fs;
use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use peers::{bad_client, request_head, spawn_servers};
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

/// Sends a good request and returns the start of its response.
///
/// # Panics
/// If it gets no response in time.
fn send_good_request(sidecar: &str, round: usize) -> String {
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
    String::from_utf8_lossy(&response[..read]).into_owned()
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

/// What was seen while all peers misbehaved, and after that.
struct FloodRecord {
    most_memory_kb: u64,
    most_descriptors: usize,
    /// The start of the response to each request of a well-behaved client.
    responses: Vec<String>,
    counters_afterwards: String,
}

impl FloodRecord {
    fn served(&self) -> usize {
        let is_served = |response: &&String| response.starts_with("HTTP/1.1 200");
        self.responses.iter().filter(is_served).count()
    }
}

/// The one flood that the tests below look at.
static FLOOD: LazyLock<FloodRecord> = LazyLock::new(|| {
    let flood = play_flood();
    println!(
        "at most {} kB and {} descriptors; {} of {ROUNDS} usual requests served",
        flood.most_memory_kb,
        flood.most_descriptors,
        flood.served()
    );
    flood
});

fn play_flood() -> FloodRecord {
    let mut harness = Harness::start("floods", "servers=4 memory=32 deadline=4000");
    let is_over = Arc::new(AtomicBool::new(false));
    let servers = spawn_servers(&harness, &is_over);
    send_endless_line(&mut harness);
    let sidecar = harness.listen_address().to_owned();
    let mut bad_clients = Vec::new();
    let mut responses = Vec::new();
    let mut most_memory_kb = 0;
    let mut most_descriptors = 0;
    for round in 0..ROUNDS {
        let first = BAD_CLIENTS_PER_ROUND * round;
        let numbers = first..first + BAD_CLIENTS_PER_ROUND;
        bad_clients.extend(numbers.filter_map(|number| bad_client(&sidecar, number)));
        bad_clients.truncate(MAX_BAD_CLIENTS);
        responses.push(send_good_request(&sidecar, round));
        most_memory_kb = most_memory_kb.max(anonymous_memory_kb(&harness));
        most_descriptors = most_descriptors.max(open_descriptors(&harness));
    }
    is_over.store(true, Ordering::Relaxed);
    for server in servers {
        server.join().expect("a server ends");
    }
    drop(bad_clients);
    FloodRecord {
        most_memory_kb,
        most_descriptors,
        responses,
        counters_afterwards: counters_after_the_flood(&sidecar),
    }
}

#[test]
fn memory_stays_within_the_least_limit_when_all_peers_misbehave() {
    let most_kb = FLOOD.most_memory_kb;
    assert!(most_kb < MEMORY_MB * 1024, "{most_kb} kB of {MEMORY_MB} MB");
}

#[test]
fn descriptors_stay_within_the_least_limit_when_all_peers_misbehave() {
    let most = FLOOD.most_descriptors;
    assert!(most < DESCRIPTORS, "{most} descriptors of {DESCRIPTORS}");
}

#[test]
fn each_usual_request_gets_a_final_response_when_all_peers_misbehave() {
    assert_eq!(FLOOD.responses.len(), ROUNDS);
    for (round, response) in FLOOD.responses.iter().enumerate() {
        let is_final = response.starts_with("HTTP/1.1 200") || response.starts_with("HTTP/1.1 50");
        assert!(is_final, "{round}: {response:?}");
    }
}

#[test]
fn some_usual_requests_are_served_when_all_peers_misbehave() {
    assert!(FLOOD.served() > 0, "no usual request was served");
}

#[test]
fn counters_are_readable_once_the_flood_is_over() {
    let counters = &FLOOD.counters_afterwards;
    assert!(counters.contains("requests_accepted"), "{counters}");
}
