//! What the cases share: HTTP/1.1 on blocking sockets, discovery's lists, the record of a run, and
//! the start of a sidecar with the command of the deploy file.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufWriter, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

/// Ends the case because it cannot run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(CANNOT_RUN);
}

/// False with TROUBLE=0: the case then runs without its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The record of a run: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("record: {e}")));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Milliseconds since the start of the run.
    pub fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {text}", self.ms(at));
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

/// A small generator of random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// The wait until the next arrival of a Poisson process, in seconds.
    pub fn gap(&mut self, per_second: f64) -> f64 {
        -(1.0 - self.unit()).ln() / per_second
    }
}

pub fn ms(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds.max(0.0) / 1e3)
}

pub fn sleep_until(at: Instant) {
    let left = at.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        thread::sleep(left);
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// A free port of 127.0.0.1.
pub fn free_port() -> u16 {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    socket.local_addr().unwrap().port()
}

pub fn listen(address: &str) -> TcpListener {
    TcpListener::bind(address).unwrap_or_else(|e| cannot_run(&format!("{address}: {e}")))
}

/// Starts a thread with a small stack.
pub fn spawn(work: impl FnOnce() + Send + 'static) {
    let started = thread::Builder::new().stack_size(128 * 1024).spawn(work);
    if let Err(error) = started {
        cannot_run(&format!("thread: {error}"));
    }
}

/// The head of a message: its first line, and its headers with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection that reads whole messages.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Bytes that were read and belong to no message yet.
    pub fn has_leftover(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn fill(&mut self, deadline: Option<Instant>) -> io::Result<usize> {
        let timeout = match deadline {
            None => None,
            Some(at) => {
                let left = at.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Some(left.max(Duration::from_millis(1)))
            }
        };
        self.stream.set_read_timeout(timeout)?;
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a message; `Ok(None)` at the end of the connection between messages.
    pub fn message(&mut self, deadline: Option<Instant>) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill(deadline)? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        while self.buffer.len() < head_end + length {
            if self.fill(deadline)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer[head_end..head_end + length].to_vec();
        self.buffer.drain(..head_end + length);
        Ok(Some(message))
    }
}

/// A response with a body of known length.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// A chunk of a response that goes on.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// The head of a watch's response.
pub const WATCH_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A request class as the deployment has it.
#[derive(Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    pub share: f64,
    pub deadline_ms: f64,
    pub method: &'static str,
    pub keyed: bool,
}

/// The four classes of the deployment.
pub const CLASSES: [Class; 4] = [
    Class {
        name: "job-status",
        share: 0.43,
        deadline_ms: 1500.0,
        method: "GET",
        keyed: false,
    },
    Class {
        name: "quote",
        share: 0.34,
        deadline_ms: 2000.0,
        method: "GET",
        keyed: false,
    },
    Class {
        name: "book-slot",
        share: 0.14,
        deadline_ms: 3000.0,
        method: "POST",
        keyed: false,
    },
    Class {
        name: "pay-order",
        share: 0.09,
        deadline_ms: 5000.0,
        method: "POST",
        keyed: true,
    },
];

pub fn draw_class(random: &mut Random) -> Class {
    let mut left = random.unit();
    for class in CLASSES {
        left -= class.share;
        if left < 0.0 {
            return class;
        }
    }
    CLASSES[0]
}

/// The bytes of a client's request.
pub fn client_request(class: Class, id: &str, timeout_ms: f64) -> Vec<u8> {
    let mut text = format!(
        "{} /api?id={id} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {}\r\nX-Tenant-Id: hakata-ekimae\r\nX-Timeout: {timeout_ms:.3}m\r\n",
        class.method, class.name
    );
    if class.keyed {
        text += &format!("Idempotency-Key: {id}{id}\r\n");
    }
    if class.method == "POST" {
        let body = format!("{{\"order\":\"{id}\"}}");
        text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    } else {
        text += "\r\n";
    }
    text.into_bytes()
}

/// The settings of a small deployment with four classes and three zones.
pub fn settings(sidecars: usize) -> String {
    format!(
        r#"{{"az":"fukuoka","zones":["fukuoka","kumamoto","kagoshima"],"balancers":{sidecars},
"my-number":0,"membership-mode":"on_request","step-ms":5.0,"tier":0,"tiers":["job-servers"],
"weights":"none","workload":"mesh","worth-by":"request","over-share-worth":0.2,
"skus":["fast-2","std-3","slow-2"],"callers":{{"marks-retry":true}},
"tenants":[{{"name":"hakata-ekimae","quota-per-s":200.0,"share":1.0}}],
"goal":{{"whole":0.25,"worst-class":0.2,"worst-tenant":0.1,"worst-window":0.45}},
"fees":{{"connection":0.0,"cross-zone":0.015,"handshake":0.0,"late-fail":0.05,
"membership-mode":0.0,"peer":0.0,"probe":0.0021,"waste":0.022}},
"permissions":{{"cancel":true,"connect-timeout-ms":200.0,"cpu-us-per-request":10.0,
"cpu-us-per-s":8000,"idle-close-ms":5000.0,"max-attempts":5,"max-open":20000,
"max-retry-after-ms":2000.0,"may-duplicate":true,"peers":false,"probes":true,
"retry-after":false,"streams-per-conn":1}},
"report":{{"fields":["active","err_rps","waiting"],"source":"probe"}},
"safety":{{"ask-every-ms":10000.0,"cold-from":0.13,"cold-ms":24000.0,"drain-grace-ms":2000.0,
"fall-ms":1500.0,"grace-to-answer-ms":20.0,"overload-factor":2.5}},
"request-classes":[
{{"name":"job-status","semantics":"pure","dedup-scope":"all","window-ms":5000.0,"importance":1.0,
"late-value":0.0,"objective-ms":400.0,"deadline-ms":1500.0,"streamed":false}},
{{"name":"quote","semantics":"pure","dedup-scope":"all","window-ms":5000.0,"importance":1.0,
"late-value":0.0,"objective-ms":600.0,"deadline-ms":2000.0,"streamed":false}},
{{"name":"book-slot","semantics":"side_effect","dedup-scope":"all","window-ms":5000.0,
"importance":2.0,"late-value":0.0,"objective-ms":800.0,"deadline-ms":3000.0,"streamed":false}},
{{"name":"pay-order","semantics":"token","dedup-scope":"zone","window-ms":10000.0,
"importance":3.0,"late-value":0.0,"objective-ms":1000.0,"deadline-ms":5000.0,
"streamed":false}}]}}"#
    )
}

/// One job server of a list.
#[derive(Clone)]
pub struct Listed {
    pub uid: String,
    pub endpoint: String,
    pub zone: &'static str,
    pub group: usize,
    pub state: &'static str,
}

pub const ZONES: [&str; 3] = ["fukuoka", "kumamoto", "kagoshima"];

impl Listed {
    /// The entry in discovery's form; the members are separated by `between`.
    pub fn json(&self, between: &str) -> String {
        let members = [
            format!("\"uid\":\"{}\"", self.uid),
            format!("\"endpoint\":\"{}\"", self.endpoint),
            format!("\"az\":\"{}\"", self.zone),
            "\"model\":\"std-3\"".to_owned(),
            format!("\"pod_group\":{}", self.group),
            format!("\"state\":\"{}\"", self.state),
            "\"capacity_hint\":1.0".to_owned(),
            "\"boot_ms\":0".to_owned(),
        ];
        members.join(between)
    }
}

/// A list on one line.
pub fn list(revision: u64, all: bool, servers: &[Listed]) -> String {
    let entries: Vec<String> = servers
        .iter()
        .map(|s| format!("{{{}}}", s.json(",")))
        .collect();
    format!(
        "{{\"rev\":{revision},\"all\":{all},\"targets\":[{}]}}\n",
        entries.join(",")
    )
}

/// The same list, indented by two spaces for each level.
pub fn indented_list(revision: u64, all: bool, servers: &[Listed]) -> String {
    let entry = |s: &Listed| format!("    {{\n      {}\n    }}", s.json(",\n      "));
    let entries: Vec<String> = servers.iter().map(entry).collect();
    format!(
        "{{\n  \"rev\": {revision},\n  \"all\": {all},\n  \"targets\": [\n{}\n  ]\n}}\n",
        entries.join(",\n")
    )
}

/// A sidecar, started by the deploy file's `run` from the repository's root.
pub struct Sidecar {
    child: Child,
    /// Names the process for run-case.sh as long as it may run.
    pid_path: PathBuf,
    pub address: SocketAddr,
    pub config_path: PathBuf,
    seed: u64,
    settings: String,
    known: String,
    sockets: usize,
}

impl Sidecar {
    /// `known` is the list that the sidecar last had, in discovery's form.
    pub fn start(
        folder: &Path,
        name: &str,
        discovery: &str,
        known: &str,
        settings: &str,
        sockets: usize,
        seed: u64,
    ) -> Self {
        let run = std::env::var("RUN").unwrap_or_else(|_| cannot_run("RUN is not set"));
        let root = std::env::var("ROOT").unwrap_or_else(|_| cannot_run("ROOT is not set"));
        let address: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let config_path = folder.join(format!("{name}.json"));
        let temporary = folder.join(format!("{name}.tmp"));
        std::fs::create_dir_all(&temporary).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let config = Self::config(name, address, discovery, known, settings, sockets, seed);
        std::fs::write(&config_path, config).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = File::create(folder.join(format!("{name}.log"))).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(root)
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery)
            .env("NODE_CONFIG", &config_path)
            .env("TMPDIR", temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("sidecar: {e}")));
        // For run-case.sh, which ends the process if this program cannot.
        let pid_path = folder.join(format!("{name}.pid"));
        let _ = std::fs::write(&pid_path, format!("{}\n", child.id()));
        Self {
            child,
            pid_path,
            address,
            config_path,
            seed,
            settings: settings.to_owned(),
            known: known.to_owned(),
            sockets,
        }
    }

    fn config(
        name: &str,
        address: SocketAddr,
        discovery: &str,
        known: &str,
        settings: &str,
        sockets: usize,
        seed: u64,
    ) -> String {
        format!(
            "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\
             \"seed\":\"{seed:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\
             \"sockets\":{sockets}}},\"known\":{known},\"settings\":{settings}}}"
        )
    }

    /// Waits until `GET /ready` answers 200.
    pub fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
                let mut reader = Reader::new(stream);
                let read = reader.message(Some(Instant::now() + Duration::from_secs(2)));
                if read.is_ok_and(|m| m.is_some_and(|m| m.status() == 200)) {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run("the sidecar is not ready after 30 s");
    }

    /// Replaces the configuration by one with another discovery, and sends SIGHUP.
    pub fn reload(&self, name: &str, discovery: &str) {
        let (known, settings) = (&self.known, &self.settings);
        let config = Self::config(
            name,
            self.address,
            discovery,
            known,
            settings,
            self.sockets,
            self.seed,
        );
        let next = self.config_path.with_extension("next");
        std::fs::write(&next, config).unwrap();
        std::fs::rename(&next, &self.config_path).unwrap();
        self.signal("HUP");
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{signal} {pid}")])
            .status();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.pid_path);
    }
}

/// What a client got.
pub enum Answer {
    Response(Message),
    /// The connection ended without a whole answer.
    Ended,
    /// There was no answer by the end of the wait.
    NoAnswer,
}

/// A client's connections to its sidecar that are free for the next request.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<(Instant, Reader)>>>,
    /// Requests that this client itself sent once more, since they crossed a close.
    resent: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
            resent: Arc::default(),
        }
    }

    /// Whether this client sent the request with this id twice itself.
    pub fn has_resent(&self, id: &str) -> bool {
        let id = id.as_bytes();
        let resent = self.resent.lock().unwrap();
        resent
            .iter()
            .any(|request| request.windows(id.len()).any(|part| part == id))
    }

    /// Sends a request and waits for its answer until `wait` after its last byte. A request that
    /// crosses the close of a kept connection is sent once more on a new one.
    pub fn send(&self, request: &[u8], wait: Duration) -> (Instant, Answer) {
        let kept = self.idle.lock().unwrap().pop();
        if let Some((since, reader)) = kept
            && since.elapsed() < Duration::from_millis(1500)
        {
            let sent = self.exchange(reader, request, wait);
            if !matches!(sent.1, Answer::Ended) {
                return sent;
            }
            self.resent.lock().unwrap().push(request.to_vec());
        }
        match TcpStream::connect(self.address) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                self.exchange(Reader::new(stream), request, wait)
            }
            Err(_) => (Instant::now(), Answer::Ended),
        }
    }

    fn exchange(&self, mut reader: Reader, request: &[u8], wait: Duration) -> (Instant, Answer) {
        let mut stream = reader.stream();
        let written = stream.write_all(request);
        let sent_at = Instant::now();
        if written.is_err() {
            return (sent_at, Answer::Ended);
        }
        match reader.message(Some(sent_at + wait)) {
            Ok(Some(message)) => {
                if !message.header("connection").eq_ignore_ascii_case("close") {
                    self.idle.lock().unwrap().push((Instant::now(), reader));
                }
                (sent_at, Answer::Response(message))
            }
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
                ) =>
            {
                (sent_at, Answer::NoAnswer)
            }
            Ok(None) | Err(_) => (sent_at, Answer::Ended),
        }
    }
}
