//! Job servers send a second copy of some answers, some milliseconds after the first and only while
//! nothing else waits on the connection. No client may get an answer that was made for another.

use std::io;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, End, Request};
use crate::discovery::{Discovery, Entry, Form};
use crate::server::{Fault, Server, body_for};
use crate::sidecar::{Settings, Sidecar};
use crate::{Setting, Verdict, network};

/// Time between an answer and its second copy: some milliseconds.
const COPY_DELAY: Duration = Duration::from_millis(10);
/// Every so many answers of a job server, one gets a second copy.
const COPY_EVERY: usize = 8;
/// One way between data centres.
const ONE_WAY: Duration = Duration::from_millis(5);
const SERVERS: u8 = 3;
const SIDECARS: usize = 3;
const CLIENTS: usize = 9;
const LENGTH: Duration = Duration::from_secs(60);

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let fault = if setting.trouble {
        Fault::SecondCopy {
            after: COPY_DELAY,
            every: COPY_EVERY,
        }
    } else {
        Fault::None
    };
    let mut entries = Vec::new();
    for n in 1..=SERVERS {
        let ip = Ipv4Addr::new(127, 0, 1, n);
        let work = Duration::from_millis(12);
        let server = Server::start(record, &format!("s-{n:08x}"), ip, work, fault)?;
        entries.push(Entry {
            uid: server.uid.clone(),
            endpoint: network::delayed(server.address, ip, ONE_WAY)?,
            zone: "kumamoto",
            model: "std-3",
            state: "ready",
            boot_ms: 0,
            rev: 1,
        });
    }
    let discovery = Discovery::start(record, entries, false, Form::OneLine)?;
    let settings = Settings {
        sidecars: SIDECARS,
        membership: "on_request",
        drain_grace_ms: 2_000,
    };
    let known = discovery.known();
    let mut sidecars = Vec::new();
    for n in 0..SIDECARS {
        sidecars.push(Sidecar::start(&setting.directory, n, &settings, discovery.address, &known)?);
    }
    let counts = Arc::new([const { AtomicUsize::new(0) }; 3]);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = Arc::clone(record);
            let counts = Arc::clone(&counts);
            let address = sidecars[client % sidecars.len()].listen;
            thread::spawn(move || {
                let mut connection = Client::new(address);
                let until = Instant::now() + LENGTH;
                for n in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let id = format!("{client:04x}{n:012x}");
                    let timeout = Duration::from_millis(1_500);
                    let request = Request {
                        id: &id,
                        class: "job-status",
                        timeout,
                        key: None,
                        body: None,
                    };
                    record.line(format!("client sent {id}"));
                    match connection.send(&request, timeout + Duration::from_millis(550)) {
                        End::Answer { status: 200, body } if body == body_for(&id) => {
                            counts[0].fetch_add(1, Ordering::SeqCst);
                            record.line(format!("client got the answer to {id}"));
                        }
                        End::Answer { status: 200, body } => {
                            counts[1].fetch_add(1, Ordering::SeqCst);
                            record.line(format!("FOREIGN: client of {id} got {body}"));
                        }
                        End::Answer { status, .. } => {
                            counts[2].fetch_add(1, Ordering::SeqCst);
                            record.line(format!("client got {status} for {id}"));
                        }
                        End::Closed | End::NoAnswer => {
                            counts[2].fetch_add(1, Ordering::SeqCst);
                            record.line(format!("client got no answer to {id}"));
                        }
                    }
                    // Uneven pauses of up to 20 ms.
                    thread::sleep(Duration::from_micros(n * 7919 % 100 * 200));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let [right, foreign, other] = [0, 1, 2].map(|n| counts[n].load(Ordering::SeqCst));
    record.say(format!(
        "{right} right answers, {foreign} answers that were made for another request, {other} other ends"
    ));
    Ok(if foreign > 0 { Verdict::Broken } else { Verdict::Held })
}
