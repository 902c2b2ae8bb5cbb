//! Case: a second copy of an answer that comes some milliseconds late is taken for the answer to
//! the next request on its connection, and a client gets another client's answer.
//!
//! One sidecar, six job servers in three zones, four classes at 1,000 requests a second. Some answers
//! are followed by a second copy of themselves, which a job server sends only while no request
//! waits on that connection.

mod common;

use std::collections::{HashMap, VecDeque};
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SERVERS: usize = 6;
/// Four times the 250 a second of an ordinary sidecar.
const REQUESTS_PER_S: f64 = 1_000.0;
const RUN_S: f64 = 90.0;
/// Share of the answers that are followed by a second copy.
const COPY_SHARE: f64 = 0.25;
/// Share of the requests that a job server turns away, as its queue is full; with TROUBLE=0 too.
const TURNED_AWAY_SHARE: f64 = 0.2;
/// How late the second copy is sent: some milliseconds.
const COPY_DELAY_MS: (f64, f64) = (2.0, 8.0);
/// Time one way between zones, and within one.
const CROSS_MS: (f64, f64) = (3.0, 5.5);
const SAME_MS: (f64, f64) = (0.2, 0.35);
/// The class that must not run twice.
const UNSAFE_CLASS: &str = "book-slot";
const WORK_MS: (f64, f64) = (1.0, 5.0);

#[derive(Default)]
struct Counts {
    runs: Mutex<HashMap<String, u32>>,
    copies: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    foreign: AtomicU64,
    unanswered: AtomicU64,
    /// Requests of the class that must not run twice that got 503.
    refused_unsafe: Mutex<Vec<String>>,
    /// All requests of that class.
    unsafe_ids: Mutex<Vec<String>>,
}

/// Requests that are on their way to a job server or wait there, with the time of their arrival.
#[derive(Default)]
struct Inbox {
    requests: Mutex<(VecDeque<(Instant, Message)>, bool)>,
    changed: Condvar,
}

/// One connection of a job server, at the far end of a network that delays both ways.
struct Connection {
    name: String,
    one_way_ms: (f64, f64),
    record: Record,
    counts: Arc<Counts>,
    random: Random,
}

impl Connection {
    fn run(mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let inbox = Arc::new(Inbox::default());
        let Ok(input) = stream.try_clone() else {
            return;
        };
        let (reader_inbox, one_way_ms, seed) =
            (Arc::clone(&inbox), self.one_way_ms, self.random.next());
        spawn(move || read_requests(input, &reader_inbox, one_way_ms, Random::new(seed)));
        let mut output = &stream;
        let mut last_delivery = Instant::now();
        while let Some((arrived_at, request)) = next_request(&inbox) {
            sleep_until(arrived_at);
            let is_probe = request.target() == "/status/load";
            let id = request.header("x-request-id").to_owned();
            let answer = if is_probe {
                response("200 OK", "", "inflight=0,eps=0,queue=0")
            } else if self.random.unit() < TURNED_AWAY_SHARE {
                self.record.line(&format!("{} turns away {id}", self.name));
                response("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
            } else {
                *self
                    .counts
                    .runs
                    .lock()
                    .unwrap()
                    .entry(id.clone())
                    .or_default() += 1;
                self.record.line(&format!("{} runs {id}", self.name));
                thread::sleep(ms(self.random.between(WORK_MS.0, WORK_MS.1)));
                response("200 OK", "", &format!("served {id}"))
            };
            let answered_at = Instant::now();
            last_delivery = self.delivery(answered_at, last_delivery);
            sleep_until(last_delivery);
            if output.write_all(&answer).is_err() {
                return;
            }
            if trouble() && !is_probe && self.random.unit() < COPY_SHARE {
                let delay_ms = self.random.between(COPY_DELAY_MS.0, COPY_DELAY_MS.1);
                let copied_at = answered_at + ms(delay_ms);
                last_delivery = self.delivery(copied_at, last_delivery);
                sleep_until(last_delivery);
                // Sent only if nothing else waited at the job server by then.
                let latest = answered_at + ms(COPY_DELAY_MS.1 + self.one_way_ms.1);
                // And not by a machine that woke this thread too late for the stated times.
                if !has_arrived(&inbox, copied_at) && Instant::now() <= latest {
                    if output.write_all(&answer).is_err() {
                        return;
                    }
                    self.counts.copies.fetch_add(1, Ordering::SeqCst);
                    self.record.line(&format!(
                        "{} sent a second copy for {id}, {delay_ms:.1} ms after the first",
                        self.name
                    ));
                }
            }
        }
    }

    /// When bytes that are sent at `at` come out of the network, behind those before them.
    fn delivery(&mut self, at: Instant, last: Instant) -> Instant {
        (at + ms(self.random.between(self.one_way_ms.0, self.one_way_ms.1))).max(last)
    }
}

fn read_requests(stream: TcpStream, inbox: &Inbox, one_way_ms: (f64, f64), mut random: Random) {
    let mut reader = Reader::new(stream);
    let mut last = Instant::now();
    loop {
        let read = reader.message(None);
        let mut requests = inbox.requests.lock().unwrap();
        match read {
            Ok(Some(request)) => {
                last = last.max(Instant::now() + ms(random.between(one_way_ms.0, one_way_ms.1)));
                requests.0.push_back((last, request));
            }
            Ok(None) | Err(_) => requests.1 = true,
        }
        inbox.changed.notify_all();
        if requests.1 {
            return;
        }
    }
}

fn next_request(inbox: &Inbox) -> Option<(Instant, Message)> {
    let mut requests = inbox.requests.lock().unwrap();
    loop {
        if let Some(request) = requests.0.pop_front() {
            return Some(request);
        }
        if requests.1 {
            return None;
        }
        requests = inbox.changed.wait(requests).unwrap();
    }
}

fn has_arrived(inbox: &Inbox, by: Instant) -> bool {
    inbox
        .requests
        .lock()
        .unwrap()
        .0
        .iter()
        .any(|(arrived_at, _)| *arrived_at <= by)
}

fn start_job_servers(record: &Record, counts: &Arc<Counts>) -> Vec<Listed> {
    (0..SERVERS)
        .map(|number| {
            let socket = listen(&format!("127.0.0.{}:0", number + 2));
            let endpoint = socket.local_addr().unwrap().to_string();
            let zone = ZONES[number % 3];
            let one_way_ms = if zone == "fukuoka" { SAME_MS } else { CROSS_MS };
            let (record, counts) = (record.clone(), Arc::clone(counts));
            spawn(move || {
                let mut random = Random::new(number as u64 + 100);
                for stream in socket.incoming().flatten() {
                    let connection = Connection {
                        name: format!("job server {number}"),
                        one_way_ms,
                        record: record.clone(),
                        counts: Arc::clone(&counts),
                        random: Random::new(random.next()),
                    };
                    spawn(move || connection.run(stream));
                }
            });
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

fn one_request(
    client: &Client,
    number: u64,
    class: Class,
    timeout_ms: f64,
    record: &Record,
    counts: &Counts,
) {
    let id = format!("{number:016x}");
    if class.name == UNSAFE_CLASS {
        counts.unsafe_ids.lock().unwrap().push(id.clone());
    }
    let wait = ms(timeout_ms + 550.0);
    let (sent_at, answer) = client.send(&client_request(class, &id, timeout_ms), wait);
    let took_ms = sent_at.elapsed().as_secs_f64() * 1e3;
    let (verdict, counter) = match &answer {
        Answer::Response(m) if m.status() == 200 => {
            let body = String::from_utf8_lossy(&m.body).into_owned();
            if body == format!("served {id}") {
                ("200 with its own answer".to_owned(), &counts.served)
            } else {
                (
                    format!("FOREIGN: 200 with the body '{body}'"),
                    &counts.foreign,
                )
            }
        }
        Answer::Response(m) if matches!(m.status(), 429 | 503) => {
            if class.name == UNSAFE_CLASS {
                counts.refused_unsafe.lock().unwrap().push(id.clone());
            }
            (m.status().to_string(), &counts.refused)
        }
        Answer::Response(m) => (m.status().to_string(), &counts.failed),
        Answer::Ended | Answer::NoAnswer => ("no answer".to_owned(), &counts.unanswered),
    };
    counter.fetch_add(1, Ordering::SeqCst);
    record.line_at(
        sent_at,
        &format!(
            "client sent {id} {}: after {took_ms:.1} ms {verdict}",
            class.name
        ),
    );
}

fn main() {
    let folder = std::env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("no folder"));
    let record_path = std::env::args()
        .nth(2)
        .unwrap_or_else(|| cannot_run("no record"));
    let record = Record::create(Path::new(&record_path));
    let counts = Arc::new(Counts::default());
    let servers = start_job_servers(&record, &counts);
    let known = list(41, true, &servers);
    let discovery = start_discovery(&known);
    let sidecar = Sidecar::start(
        Path::new(&folder),
        "n0",
        &discovery,
        known.trim_end(),
        &settings(3),
        1024,
        0x5eed,
    );
    sidecar.wait_until_ready();
    record.line("sidecar ready");

    let client = Client::new(sidecar.address);
    let start = Instant::now();
    let mut random = Random::new(39);
    let mut at_s = 0.0;
    let mut number = 0;
    while at_s < RUN_S {
        at_s += random.gap(REQUESTS_PER_S);
        sleep_until(start + Duration::from_secs_f64(at_s));
        let class = draw_class(&mut random);
        let timeout_ms = class.deadline_ms * random.between(0.7, 1.0);
        number += 1;
        let (client, record, counts) = (client.clone(), record.clone(), Arc::clone(&counts));
        spawn(move || one_request(&client, number, class, timeout_ms, &record, &counts));
    }
    thread::sleep(Duration::from_millis(6_000));
    drop(sidecar);
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    record.say(&format!(
        "sent {number}: served with their own answer {}, with another's {}, refused {}, failed {}, \
         unanswered {}; second copies {}",
        count(&counts.served),
        count(&counts.foreign),
        count(&counts.refused),
        count(&counts.failed),
        count(&counts.unanswered),
        count(&counts.copies),
    ));
    let runs = counts.runs.lock().unwrap();
    let refused_unsafe = counts.refused_unsafe.lock().unwrap();
    let refused_though_run: Vec<&String> = refused_unsafe
        .iter()
        .filter(|id| runs.contains_key(*id))
        .collect();
    let unsafe_ids = counts.unsafe_ids.lock().unwrap();
    let run_twice: Vec<&String> = unsafe_ids
        .iter()
        .filter(|id| runs.get(*id).is_some_and(|runs| *runs > 1) && !client.has_resent(id))
        .collect();
    record.say(&format!(
        "{UNSAFE_CLASS}: refused though they ran {refused_though_run:?}, run twice {run_twice:?}"
    ));
    if count(&counts.served) == 0 {
        record.flush();
        cannot_run("nothing was served");
    }
    let broken =
        count(&counts.foreign) > 0 || !refused_though_run.is_empty() || !run_twice.is_empty();
    record.say(if broken {
        "BROKEN: a client got what was made for another request"
    } else {
        "held"
    });
    record.flush();
    std::process::exit(if broken { BROKEN } else { HELD });
}
