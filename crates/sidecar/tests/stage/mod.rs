//! The program and all that it talks to, for recordings and for floods.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod message;
mod servers;
mod steps;

use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use std::{collections::HashMap, fs, thread};

use tokio::net::TcpSocket;

use servers::Slow;

const PATIENCE: Duration = Duration::from_secs(20);

/// The program and all that it talks to; what it says goes into the transcript.
pub struct Stage {
    child: Child,
    listen: String,
    servers: Vec<TcpListener>,
    discovery: TcpListener,
    moved: TcpListener,
    /// Where the configuration is, and how it was at the start.
    config: (PathBuf, String),
    links: HashMap<String, TcpStream>,
    transcript: String,
    /// The program's own address and those of job servers that refuse.
    _held: Vec<TcpSocket>,
    /// Where discovery moves to without being there.
    refusing: (TcpSocket, String),
    /// Servers whose connections come up late.
    slow: Vec<Slow>,
    /// Set while every call at discovery is turned away.
    denying: Arc<AtomicBool>,
    /// When SIGTERM was sent for the first time.
    stopped: Option<Instant>,
}

fn option(line: &str, name: &str) -> Option<usize> {
    line.split_whitespace()
        .find_map(|w| w.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn span(text: &str) -> Duration {
    let ms = text
        .trim()
        .strip_suffix("ms")
        .and_then(|t| t.parse().ok())
        .expect("a time in ms");
    Duration::from_millis(ms)
}

fn free_port() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("not blocking");
    listener
}

/// A free address that the program may listen on, but which nobody else is given while it is held. Guards against
/// a test that plays against another one's program, or against none, since it took its port before it listened.
fn hold() -> (TcpSocket, String) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a free port");
    socket.set_reuseaddr(true).expect("shared with a listener");
    let address = socket.local_addr().expect("bound").to_string();
    (socket, address)
}

fn address(listener: &TcpListener) -> String {
    listener.local_addr().expect("bound").to_string()
}

pub fn until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(start.elapsed() < PATIENCE, "{what} did not come");
        thread::sleep(Duration::from_millis(2));
    }
}

impl Stage {
    pub fn start(name: &str, line: &str) -> Self {
        let count = |key: &str, usual: usize| option(line, key).unwrap_or(usual);
        let mut servers: Vec<_> = (0..count("servers", 1)).map(|_| free_port()).collect();
        let mut addresses: Vec<String> = servers.iter().map(address).collect();
        servers.extend((0..count("spare", 0)).map(|_| free_port()));
        let (mut held, dead): (Vec<_>, Vec<_>) = (0..count("dead", 0)).map(|_| hold()).unzip();
        addresses.extend(dead);
        let slow: Vec<Slow> = (0..count("slow", 0)).map(|_| Slow::new()).collect();
        addresses.extend(slow.iter().map(Slow::address));
        let target = |(i, a): (usize, &String)| {
            format!(
                r#"{{"uid":"s{i}","endpoint":"{a}","az":"z{}","state":"ready"}}"#,
                i % count("zones", 1)
            )
        };
        let targets: Vec<String> = addresses.iter().enumerate().map(target).collect();
        let (discovery, moved, (own, listen)) = (free_port(), free_port(), hold());
        held.push(own);
        let config = include_str!("../exchanges/config.json")
            .replace("{targets}", &targets.join(","))
            .replace("\"{idle}\"", &format!("{}e-3", count("idle", 60_000_000)))
            .replace("\"{memory}\"", &count("memory", 192).to_string())
            .replace(
                "\"deadline-ms\":20000",
                &format!("\"deadline-ms\":{}", count("deadline", 20_000)),
            )
            .replace(
                "\"objective-ms\":15000",
                &format!("\"objective-ms\":{}", count("deadline", 15_000)),
            )
            .replace(
                "\"window-ms\":60000",
                &format!("\"window-ms\":{}", count("window", 60_000)),
            )
            .replace(
                "\"drain-grace-ms\":2000.0",
                &format!("\"drain-grace-ms\":{}", count("grace", 2_000)),
            );
        let config = if line.contains("pushed") {
            config.replace("on_request", "pushed")
        } else {
            config
        };
        let path =
            std::env::temp_dir().join(format!("arrowstand-{name}-{}.json", std::process::id()));
        fs::write(&path, &config).expect("configuration written");
        let child = Command::new(env!("CARGO_BIN_EXE_arrowstand"))
            .env("NODE_CONFIG", &path)
            .env("NODE_LISTEN", &listen)
            .env("NODE_DISCOVERY", address(&discovery))
            .stderr(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the program starts");
        until("the listener", || TcpStream::connect(&listen).ok());
        let (links, transcript, refusing) = (HashMap::new(), String::new(), hold());
        Self {
            child,
            listen,
            servers,
            discovery,
            moved,
            config: (path, config),
            links,
            transcript,
            _held: held,
            refusing,
            slow,
            denying: Arc::default(),
            stopped: None,
        }
    }

    /// Where the program listens.
    pub fn listen(&self) -> &str {
        &self.listen
    }

    /// What the machine says of the program's process.
    pub fn process(&self, file: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{file}", self.child.id()))
    }

    /// The listening sides of the servers.
    pub fn servers(&self) -> Vec<TcpListener> {
        self.servers
            .iter()
            .map(|l| l.try_clone().expect("a second handle"))
            .collect()
    }

    pub fn transcript(&mut self) -> String {
        std::mem::take(&mut self.transcript)
    }

    fn link(&mut self, party: &str) -> &mut TcpStream {
        if !self.links.contains_key(party) {
            let accept = |l: &TcpListener| l.accept().ok().map(|(stream, _)| stream);
            let link = match &party[..1] {
                "T" => TcpStream::connect(&self.listen).expect("the program accepts"),
                "S" => until(party, || {
                    self.servers
                        .iter()
                        .find_map(accept)
                        .or_else(|| self.slow.iter().find_map(Slow::accept))
                }),
                "E" => until(party, || accept(&self.moved)),
                _ => until(party, || accept(&self.discovery)),
            };
            link.set_nonblocking(false).expect("blocking");
            link.set_read_timeout(Some(PATIENCE)).expect("a time-out");
            self.links.insert(party.to_owned(), link);
        }
        self.links.get_mut(party).expect("there")
    }
}

impl Drop for Stage {
    /// Ends the program, also where the test fails.
    fn drop(&mut self) {
        self.denying.store(false, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.config.0);
    }
}
