//! Case: a whole list of a large fleet, indented, stalls the sidecar, and requests lose their
//! answers.
//!
//! One sidecar, 1,600 listed job servers, four classes at 40 requests a second. Ten seconds in, a
//! new configuration with SIGHUP names another discovery, whose watch begins with the whole list.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// The page's bound is 3,200.
const SERVERS: usize = 1_600;
const REQUESTS_PER_S: f64 = 40.0;
const RUN_S: f64 = 30.0;
const RELOAD_AT_S: f64 = 10.0;
/// After SIGHUP the old discovery closes its open connections.
const OLD_CLOSES_AFTER: Duration = Duration::from_millis(1500);
/// Later than this after a client's time, a request without a final answer is lost: half a second
/// by STANDING, and the 50 ms that PROTOCOL adds to each time limit.
const GRACE: Duration = Duration::from_millis(550);

struct Discovery {
    name: &'static str,
    /// What a watch begins with.
    first_object: String,
    closed: AtomicBool,
    /// Takes no new connection any more; open watches go on until it is closed.
    refuses: AtomicBool,
    calls: AtomicU64,
}

impl Discovery {
    fn start(self, record: &Record) -> (Arc<Self>, String) {
        let socket = listen("127.0.0.1:0");
        let address = socket.local_addr().unwrap().to_string();
        let this = Arc::new(self);
        let (discovery, record) = (Arc::clone(&this), record.clone());
        spawn(move || {
            for stream in socket.incoming().flatten() {
                if discovery.refuses.load(Ordering::SeqCst) {
                    return;
                }
                let (discovery, record) = (Arc::clone(&discovery), record.clone());
                spawn(move || discovery.watch(stream, &record));
            }
        });
        (this, address)
    }

    /// A watch: the first object, and an empty line every 2 s.
    fn watch(&self, stream: TcpStream, record: &Record) {
        let mut reader = Reader::new(stream);
        let Ok(Some(call)) = reader.message(Some(Instant::now() + Duration::from_secs(5))) else {
            return;
        };
        self.calls.fetch_add(1, Ordering::SeqCst);
        record.line(&format!("discovery {}: {}", self.name, call.first_line));
        let mut stream = reader.stream();
        if stream.write_all(WATCH_HEAD).is_err()
            || stream.write_all(&chunk(&self.first_object)).is_err()
        {
            return;
        }
        let bytes = self.first_object.len();
        record.line(&format!(
            "discovery {}: first object written, {bytes} bytes",
            self.name
        ));
        let mut next_line = Instant::now() + Duration::from_secs(2);
        while !self.closed.load(Ordering::SeqCst) {
            if Instant::now() >= next_line {
                if stream.write_all(&chunk("\n")).is_err() {
                    return;
                }
                next_line += Duration::from_secs(2);
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.line(&format!("discovery {}: watch closed", self.name));
    }

    fn refuse(&self, address: &str) {
        self.refuses.store(true, Ordering::SeqCst);
        // Wakes the listener, which then ends: new connections are refused.
        let _ = TcpStream::connect(address);
    }

    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }
}

/// A sound job server: 30 ms of work, and a load report when it is probed.
fn serve(stream: TcpStream, record: &Record, ran: &AtomicU64) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    while let Ok(Some(request)) = reader.message(None) {
        let answer = if request.target() == "/status/load" {
            response("200 OK", "", "inflight=0,eps=0,queue=0")
        } else {
            let id = request.header("x-request-id");
            record.line(&format!("job server runs {id}"));
            ran.fetch_add(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(30));
            response("200 OK", "", &format!("served {id}"))
        };
        if reader.stream().write_all(&answer).is_err() {
            return;
        }
    }
}

fn start_job_servers(record: &Record, ran: &Arc<AtomicU64>) -> Vec<Listed> {
    let port = free_port();
    (0..SERVERS)
        .map(|number| {
            let endpoint = format!("127.7.{}.{}:{port}", number / 200, number % 200 + 1);
            let socket = listen(&endpoint);
            let (record, ran) = (record.clone(), Arc::clone(ran));
            spawn(move || {
                for stream in socket.incoming().flatten() {
                    let (record, ran) = (record.clone(), Arc::clone(&ran));
                    spawn(move || serve(stream, &record, &ran));
                }
            });
            Listed {
                uid: format!("s-{:08x}", (number as u32).wrapping_mul(2_654_435_761)),
                endpoint,
                zone: ZONES[number % 3],
                group: number / 12 * 3 + number % 3,
                state: "ready",
            }
        })
        .collect()
}

#[derive(Default)]
struct Outcomes {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    lost: AtomicU64,
    longest_ms: AtomicU64,
}

/// Sends one request, as a client does, and judges its answer.
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
    out.longest_ms
        .fetch_max(took.as_millis() as u64, Ordering::SeqCst);
    let is_late = took > wait;
    let (verdict, counter) = match &answer {
        Answer::Response(m) if is_late => (format!("LOST: {} too late", m.status()), &out.lost),
        Answer::Response(m) => match m.status() {
            200 => ("200".to_owned(), &out.served),
            429 | 503 => (m.status().to_string(), &out.refused),
            other => (other.to_string(), &out.failed),
        },
        // Whether it was read cannot be seen, so it is not counted as lost.
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

fn main() {
    let folder = std::env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("no folder"));
    let record_path = std::env::args()
        .nth(2)
        .unwrap_or_else(|| cannot_run("no record"));
    let record = Record::create(Path::new(&record_path));
    let ran = Arc::new(AtomicU64::new(0));
    let servers = start_job_servers(&record, &ran);
    let old = Discovery {
        name: "A",
        first_object: list(41, false, &[]),
        closed: AtomicBool::new(false),
        refuses: AtomicBool::new(false),
        calls: AtomicU64::new(0),
    };
    let (old, old_address) = old.start(&record);
    let new = Discovery {
        name: "B",
        first_object: indented_list(42, true, &servers),
        closed: AtomicBool::new(false),
        refuses: AtomicBool::new(false),
        calls: AtomicU64::new(0),
    };
    let (new, new_address) = new.start(&record);
    let known = list(41, true, &servers);
    let mut sidecar = Sidecar::start(
        Path::new(&folder),
        "n0",
        &old_address,
        known.trim_end(),
        &settings(3),
        1024,
        0x5eed,
    );
    sidecar.wait_until_ready();
    record.line("sidecar ready");

    let out = Arc::new(Outcomes::default());
    let client = Client::new(sidecar.address);
    let start = Instant::now();
    let mut random = Random::new(39);
    let mut at_s = 0.0;
    let mut number = 1;
    let mut reload_at = trouble().then_some(RELOAD_AT_S);
    let mut close_old_at = None;
    while at_s < RUN_S {
        at_s += random.gap(REQUESTS_PER_S);
        if reload_at.is_some_and(|at| at <= at_s) {
            sleep_until(start + Duration::from_secs_f64(RELOAD_AT_S));
            reload_at = None;
            record.line("SIGHUP: the configuration names discovery B");
            old.refuse(&old_address);
            sidecar.reload("n0", &new_address);
            close_old_at = Some(Instant::now() + OLD_CLOSES_AFTER);
        }
        if close_old_at.is_some_and(|at| at <= Instant::now()) {
            close_old_at = None;
            old.close();
        }
        sleep_until(start + Duration::from_secs_f64(at_s));
        let class = draw_class(&mut random);
        let timeout_ms = class.deadline_ms * random.between(0.7, 1.0);
        let (client, record, out) = (client.clone(), record.clone(), Arc::clone(&out));
        let this = number;
        number += 1;
        spawn(move || one_request(&client, this, class, timeout_ms, &record, &out));
    }
    // The last request has its answer, or is lost, by then.
    thread::sleep(Duration::from_millis(6_000));
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    let crashed = sidecar.has_ended();
    record.say(&format!(
        "sent {}: served {}, refused or shut {}, failed {}, lost {}; longest wait {} ms; run at job servers {}; \
         calls at discovery A {}, B {}; sidecar ended by itself: {crashed}",
        number - 1, count(&out.served), count(&out.refused), count(&out.failed), count(&out.lost),
        count(&out.longest_ms), count(&ran), count(&old.calls), count(&new.calls),
    ));
    drop(sidecar);
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
