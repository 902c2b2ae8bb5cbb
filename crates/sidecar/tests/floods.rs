//! Clients, servers and discovery all misbehave at the same time, at the smallest limits that a
//! deployment may set. Memory and file descriptors must stay within these limits, and a
//! well-behaved client must get a response to each request.

#[path = "floods/peers.rs"]
mod peers;
mod support;

use std::fs;
use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use peers::{connect_misbehaving_client, request_head, spawn_servers};
use support::recording::Step;
use support::{Harness, wait_for};

/// The smallest limits that a deployment may set.
const MEMORY_LIMIT_MB: u64 = 32;
const DESCRIPTOR_LIMIT: usize = 256;

/// In each round some new misbehaving clients connect and a well-behaved client sends one request.
const ROUNDS: usize = 40;
const MISBEHAVING_CLIENTS_PER_ROUND: usize = 12;
const MAX_MISBEHAVING_CLIENTS: usize = 400;
/// Read timeout of a well-behaved client.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Makes discovery send a line that does not end.
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

/// Sends a valid request and returns the start of its response.
///
/// # Panics
/// If no response arrives within [`CLIENT_TIMEOUT`].
fn send_valid_request(sidecar: &str, round: usize) -> String {
    let mut connection = TcpStream::connect(sidecar).expect("well-behaved client connects");
    connection
        .set_read_timeout(Some(CLIENT_TIMEOUT))
        .expect("timeout is set");
    let request = request_head(&format!("u{round}"), 500, 4) + "slot";
    connection
        .write_all(request.as_bytes())
        .expect("request is sent");
    let mut response = [0; 512];
    let read = connection
        .read(&mut response)
        .unwrap_or_else(|error| panic!("request {round}: {error}"));
    String::from_utf8_lossy(&response[..read]).into_owned()
}

/// Waits until the sidecar responds again and returns its counters.
fn counters_after_the_flood(sidecar: &str) -> String {
    wait_for("the counters after the flood", || {
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
    let status = fs::read_to_string(harness.proc_file_path("status")).expect("sidecar is running");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))
        .expect("status has RssAnon");
    line.trim()
        .trim_end_matches(" kB")
        .parse()
        .expect("value is a number")
}

fn open_descriptors(harness: &Harness) -> usize {
    fs::read_dir(harness.proc_file_path("fd"))
        .expect("sidecar is running")
        .count()
}

/// Observations during the flood and after it.
struct FloodObservations {
    peak_memory_kb: u64,
    peak_descriptors: usize,
    /// The start of the response to each valid request.
    responses: Vec<String>,
    counters_after: String,
}

impl FloodObservations {
    fn served(&self) -> usize {
        let is_served = |response: &&String| response.starts_with("HTTP/1.1 200");
        self.responses.iter().filter(is_served).count()
    }
}

/// The flood runs once, and each test below checks one property of it.
static FLOOD: LazyLock<FloodObservations> = LazyLock::new(|| {
    let flood = run_flood();
    println!(
        "peak of {} kB and {} descriptors; {} of {ROUNDS} valid requests served",
        flood.peak_memory_kb,
        flood.peak_descriptors,
        flood.served()
    );
    flood
});

fn run_flood() -> FloodObservations {
    let mut harness = Harness::start("floods", "servers=4 memory=32 deadline=4000");
    let is_over = Arc::new(AtomicBool::new(false));
    let servers = spawn_servers(&harness, &is_over);
    send_endless_line(&mut harness);
    let sidecar = harness.listen_address().to_owned();
    let mut misbehaving_clients = Vec::new();
    let mut responses = Vec::new();
    let mut peak_memory_kb = 0;
    let mut peak_descriptors = 0;
    for round in 0..ROUNDS {
        let first = MISBEHAVING_CLIENTS_PER_ROUND * round;
        let numbers = first..first + MISBEHAVING_CLIENTS_PER_ROUND;
        misbehaving_clients
            .extend(numbers.filter_map(|number| connect_misbehaving_client(&sidecar, number)));
        misbehaving_clients.truncate(MAX_MISBEHAVING_CLIENTS);
        responses.push(send_valid_request(&sidecar, round));
        peak_memory_kb = peak_memory_kb.max(anonymous_memory_kb(&harness));
        peak_descriptors = peak_descriptors.max(open_descriptors(&harness));
    }
    is_over.store(true, Ordering::Relaxed);
    for server in servers {
        server.join().expect("server thread ends");
    }
    drop(misbehaving_clients);
    FloodObservations {
        peak_memory_kb,
        peak_descriptors,
        responses,
        counters_after: counters_after_the_flood(&sidecar),
    }
}

#[test]
fn memory_stays_within_the_smallest_limit_when_all_peers_misbehave() {
    let peak_kb = FLOOD.peak_memory_kb;
    assert!(
        peak_kb < MEMORY_LIMIT_MB * 1024,
        "{peak_kb} kB of {MEMORY_LIMIT_MB} MB"
    );
}

#[test]
fn descriptors_stay_within_the_smallest_limit_when_all_peers_misbehave() {
    let peak = FLOOD.peak_descriptors;
    assert!(
        peak < DESCRIPTOR_LIMIT,
        "{peak} descriptors of {DESCRIPTOR_LIMIT}"
    );
}

#[test]
fn each_valid_request_gets_a_final_response_when_all_peers_misbehave() {
    assert_eq!(FLOOD.responses.len(), ROUNDS);
    for (round, response) in FLOOD.responses.iter().enumerate() {
        let is_final = response.starts_with("HTTP/1.1 200") || response.starts_with("HTTP/1.1 50");
        assert!(is_final, "{round}: {response:?}");
    }
}

#[test]
fn some_valid_requests_are_served_when_all_peers_misbehave() {
    assert!(FLOOD.served() > 0, "no valid request was served");
}

#[test]
fn counters_are_readable_once_the_flood_is_over() {
    let counters = &FLOOD.counters_after;
    assert!(counters.contains("requests_accepted"), "{counters}");
}
