//! Case: clients that stop in the middle of a request and stay keep the sidecar from accepting
//! connections, and requests of usual clients on new connections get no answer.
//!
//! One sidecar with 256 descriptors, six job servers, four classes at 60 requests a second. Ten
//! seconds in, 300 clients connect, send half a head and stay until the sidecar ends them.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SOCKETS: usize = 256;
const SERVERS: usize = 6;
const REQUESTS_PER_S: f64 = 60.0;
const RUN_S: f64 = 30.0;
const HALF_REQUESTS: usize = 300;
const HALF_REQUESTS_AT_S: f64 = 10.0;
/// Later than this after a client's time, a request without a final answer is lost: half a second
/// by STANDING, and the 50 ms that PROTOCOL adds to each time limit.
const GRACE: Duration = Duration::from_millis(550);

/// A sound job server: 30 ms of work, and a load report when it is probed.
fn serve(stream: TcpStream, record: &Record) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    while let Ok(Some(request)) = reader.message(None) {
        let answer = if request.target() == "/status/load" {
            response("200 OK", "", "inflight=0,eps=0,queue=0")
        } else {
            let id = request.header("x-request-id");
            record.line(&format!("job server runs {id}"));
            thread::sleep(Duration::from_millis(30));
            response("200 OK", "", &format!("served {id}"))
        };
        if reader.stream().write_all(&answer).is_err() {
            return;
        }
    }
}

fn start_job_servers(record: &Record) -> Vec<Listed> {
    (0..SERVERS)
        .map(|number| {
            let socket = listen(&format!("127.0.0.{}:0", number + 2));
            let endpoint = socket.local_addr().unwrap().to_string();
            let record = record.clone();
            spawn(move || {
                for stream in socket.incoming().flatten() {
                    let record = record.clone();
                    spawn(move || serve(stream, &record));
                }
            });
            let zone = ZONES[number % 3];
            Listed {
                uid: format!("s-{number:08x}"),
                endpoint,
                zone,
                group: number % 3,
                state: "ready",
            }
        })
        .collect()
}

/// Discovery: nothing changes.
fn start_discovery(known: &str) -> String {
    let socket = listen("127.0.0.1:0");
    let address = socket.local_addr().unwrap().to_string();
    let known = known.to_owned();
    spawn(move || {
        for stream in socket.incoming().flatten() {
            let known = known.clone();
            spawn(move || {
                let mut reader = Reader::new(stream);
                let _ = reader.message(Some(Instant::now() + Duration::from_secs(5)));
                let mut stream = reader.stream();
                let mut next = [WATCH_HEAD, &chunk(&known)].concat();
                while stream.write_all(&next).is_ok() {
                    thread::sleep(Duration::from_secs(2));
                    next = chunk("\n");
                }
            });
        }
    });
    address
}

#[derive(Default)]
struct Outcomes {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    lost: AtomicU64,
    /// Clients that stopped in the middle of a request, by the time until their close or error.
    ended_within_3_s: AtomicU64,
    ended_later: AtomicU64,
    latest_end_ms: AtomicU64,
    connected: AtomicU64,
}

fn one_request(
    client: &Client,
    number: u64,
    class: Class,
    timeout_ms: f64,
    record: &Record,
    out: &Outcomes,
) {
    let id = format!("{number:016x}");
    let wait = ms(timeout_ms) + GRACE;
    let (sent_at, answer) = client.send(&client_request(class, &id, timeout_ms), wait);
    let took = sent_at.elapsed();
    let took_ms = took.as_secs_f64() * 1e3;
    let (verdict, counter) = match &answer {
        Answer::Response(m) if took > wait => (format!("LOST: {} too late", m.status()), &out.lost),
        Answer::Response(m) => match m.status() {
            200 => ("200".to_owned(), &out.served),
            429 | 503 => (m.status().to_string(), &out.refused),
            other => (other.to_string(), &out.failed),
        },
        // A connection that is shut unread is no loss where clients fill the descriptors.
        Answer::Ended => ("shut without an answer".to_owned(), &out.refused),
        Answer::NoAnswer => (
            "LOST: no answer in its time and 550 ms".to_owned(),
            &out.lost,
        ),
    };
    counter.fetch_add(1, Ordering::SeqCst);
    record.line_at(
        sent_at,
        &format!(
            "client sent {id} {} time {timeout_ms:.0} ms: after {took_ms:.1} ms {verdict}",
            class.name
        ),
    );
}

/// Connects, sends half a head, and reads until the sidecar ends the connection or answers.
fn half_request(address: std::net::SocketAddr, open: &Mutex<Vec<TcpStream>>, out: &Outcomes) {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return;
    };
    let connected_at = Instant::now();
    if stream
        .write_all(b"POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Requ")
        .is_err()
    {
        return;
    }
    out.connected.fetch_add(1, Ordering::SeqCst);
    if let Ok(kept) = stream.try_clone() {
        open.lock().unwrap().push(kept);
    }
    let _ = stream.read(&mut [0; 1024]);
    let took = connected_at.elapsed();
    out.latest_end_ms
        .fetch_max(took.as_millis() as u64, Ordering::SeqCst);
    let in_time = took <= Duration::from_millis(3_050);
    let counter = if in_time {
        &out.ended_within_3_s
    } else {
        &out.ended_later
    };
    counter.fetch_add(1, Ordering::SeqCst);
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn main() {
    let folder = std::env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("no folder"));
    let record_path = std::env::args()
        .nth(2)
        .unwrap_or_else(|| cannot_run("no record"));
    let record = Record::create(Path::new(&record_path));
    let servers = start_job_servers(&record);
    let known = list(41, true, &servers);
    let discovery = start_discovery(&known);
    let mut sidecar = Sidecar::start(
        Path::new(&folder),
        "n0",
        &discovery,
        known.trim_end(),
        &settings(3),
        SOCKETS,
        0x5eed,
    );
    sidecar.wait_until_ready();
    record.line("sidecar ready");

    let out = Arc::new(Outcomes::default());
    let half_open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let client = Client::new(sidecar.address);
    let start = Instant::now();
    let mut random = Random::new(39);
    let mut at_s = 0.0;
    let mut number = 0;
    let mut half_requests_at = trouble().then_some(HALF_REQUESTS_AT_S);
    while at_s < RUN_S {
        at_s += random.gap(REQUESTS_PER_S);
        sleep_until(start + Duration::from_secs_f64(at_s));
        if half_requests_at.is_some_and(|at| at <= at_s) {
            half_requests_at = None;
            record.line(&format!(
                "{HALF_REQUESTS} clients connect, send half a head and stay"
            ));
            for _ in 0..HALF_REQUESTS {
                let (address, open, out) =
                    (sidecar.address, Arc::clone(&half_open), Arc::clone(&out));
                spawn(move || half_request(address, &open, &out));
            }
        }
        let class = draw_class(&mut random);
        let timeout_ms = class.deadline_ms * random.between(0.7, 1.0);
        number += 1;
        let (client, record, out) = (client.clone(), record.clone(), Arc::clone(&out));
        spawn(move || one_request(&client, number, class, timeout_ms, &record, &out));
    }
    thread::sleep(Duration::from_millis(6_000));
    let crashed = sidecar.has_ended();
    drop(sidecar);
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    record.say(&format!(
        "usual clients sent {number}: served {}, refused or shut {}, failed {}, lost {}; half \
         requests: {} connected, {} ended within 3 s, {} later, the last one after {} ms; sidecar \
         ended by itself: {crashed}",
        count(&out.served),
        count(&out.refused),
        count(&out.failed),
        count(&out.lost),
        count(&out.connected),
        count(&out.ended_within_3_s),
        count(&out.ended_later),
        count(&out.latest_end_ms),
    ));
    if count(&out.served) == 0 {
        record.flush();
        cannot_run("nothing was served");
    }
    let broken = count(&out.lost) > 0 || crashed;
    record.say(if broken {
        "BROKEN: accepted requests got no final answer"
    } else {
        "held"
    });
    record.flush();
    std::process::exit(if broken { BROKEN } else { HELD });
}
