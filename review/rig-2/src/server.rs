//! A job server: serves requests with a body made for each, answers probes with its load, and turns
//! new requests away while it drains.

use std::io::{self, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Message, Reader};
use crate::record::Record;

/// The answer to the request with this id, from this server; no other body is right.
pub fn body_for(id: &str) -> String {
    format!("{{\"answer-to\":\"{id}\"}}")
}

/// What is wrong with every so many answers of a job server.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// The length is smaller than that of the body.
    ShortLength {
        every: usize,
    },
}

pub struct Server {
    pub uid: String,
    pub address: SocketAddr,
    pub draining: AtomicBool,
    /// It takes requests and does not answer them; it still answers probes.
    pub hangs: AtomicBool,
    in_flight: AtomicUsize,
    work: Duration,
    fault: Fault,
    answered: AtomicUsize,
    /// When each request came that was turned away while the server drained.
    pub turned_away: Mutex<Vec<Duration>>,
    record: Arc<Record>,
}

impl Server {
    pub fn start(
        record: &Arc<Record>,
        uid: &str,
        ip: Ipv4Addr,
        work: Duration,
        fault: Fault,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Arc::new(Self {
            uid: uid.to_owned(),
            address: listener.local_addr()?,
            draining: AtomicBool::new(false),
            hangs: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            work,
            fault,
            answered: AtomicUsize::new(0),
            turned_away: Mutex::default(),
            record: Arc::clone(record),
        });
        let this = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = Arc::clone(&this);
                thread::spawn(move || {
                    let _ = this.serve(stream);
                });
            }
        });
        Ok(server)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::default();
        while let Some(request) = reader.read(&mut stream)? {
            match request.target() {
                "/health" | "/status/load" => {
                    let load = self.in_flight.load(Ordering::SeqCst);
                    let report = format!("inflight={load},eps=0,queue=0");
                    respond(&mut stream, "200 OK", "", &report)?;
                }
                _ => self.respond_to_request(&mut stream, &request)?,
            }
        }
        Ok(())
    }

    fn respond_to_request(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let uid = &self.uid;
        let Some(id) = request.header("x-request-id") else {
            return respond(stream, "404 Not Found", "", "");
        };
        if self.draining.load(Ordering::SeqCst) {
            self.turned_away.lock().unwrap().push(self.record.now());
            self.record
                .line(format!("server {uid} got {id} while draining, turned away"));
            let header = "X-Not-Processed: 1\r\n";
            return respond(stream, "503 Service Unavailable", header, "");
        }
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        while self.hangs.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
        let answered = self.answer(stream, id);
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        answered
    }

    fn answer(&self, stream: &mut TcpStream, id: &str) -> io::Result<()> {
        let uid = &self.uid;
        let count = self.answered.fetch_add(1, Ordering::SeqCst);
        let is_turn = |every: usize| count % every == every - 1;
        thread::sleep(self.work);
        self.record.line(format!("server {uid} ran {id}"));
        let body = body_for(id);
        match self.fault {
            Fault::ShortLength { every } if is_turn(every) => {
                let length = body.len() - SHORT_BY;
                self.record.line(format!(
                    "server {uid} answers {id} with the length {length} and the body {body}"
                ));
                let message = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
                stream.write_all(message.as_bytes())
            }
            _ => respond(stream, "200 OK", "", &body),
        }
    }
}

/// By how much a length is too small.
const SHORT_BY: usize = 9;

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let message = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{headers}\r\n{body}");
    stream.write_all(message.as_bytes())
}
