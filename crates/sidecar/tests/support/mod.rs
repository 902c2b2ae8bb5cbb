//! The sidecar with everything that it talks to: clients, servers and discovery, each played by the
//! test.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod message;
mod network;
mod options;
mod peers;
pub(crate) mod recording;
mod slow_server;
pub(crate) mod socket_table;
mod steps;

use std::collections::HashMap;
use std::fs;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use network::{ReservedAddress, address_of};
use options::Options;
use peers::Peers;
use recording::Role;

/// The longest wait for anything that a test expects.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Between two looks at what is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A running sidecar and its peers; what the sidecar sends to them goes into the transcript.
pub(crate) struct Harness {
    sidecar: Child,
    listen_address: String,
    peers: Peers,
    config_path: PathBuf,
    /// The configuration as it was at the start.
    config: String,
    /// Open connections, by the party's name in the recording.
    connections: HashMap<String, TcpStream>,
    transcript: String,
    /// Keeps the sidecar's own address.
    _own_address: ReservedAddress,
    /// Set while every poll of discovery is rejected.
    rejects_polls: Arc<AtomicBool>,
    /// When SIGTERM was sent for the first time.
    stopped_at: Option<Instant>,
}

/// A configuration without a known server, with the options of a recording's first line.
pub(crate) fn config_with(options: &str) -> String {
    Options::parse(options).config(&[])
}

/// Waits until the check finds something.
///
/// # Panics
/// If it does not within the timeout.
pub(crate) fn until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "{what} did not come");
        thread::sleep(POLL_INTERVAL);
    }
}

impl Harness {
    /// Starts a sidecar with the peers that a recording's first line asks for; `name` keeps
    /// configurations apart.
    pub(crate) fn start(name: &str, first_line: &str) -> Self {
        let options = Options::parse(first_line);
        let peers = Peers::bind(&options);
        let own_address = ReservedAddress::new();
        let listen_address = own_address.address().to_owned();
        let config = options.config(&peers.listed_addresses);
        let config_path = config_path(name);
        fs::write(&config_path, &config).expect("configuration written");
        let sidecar = spawn_sidecar(&config_path, &listen_address, &peers.discovery);
        until("the listener", || TcpStream::connect(&listen_address).ok());
        Self {
            sidecar,
            listen_address,
            peers,
            config_path,
            config,
            connections: HashMap::new(),
            transcript: String::new(),
            _own_address: own_address,
            rejects_polls: Arc::default(),
            stopped_at: None,
        }
    }

    /// Where the sidecar listens.
    pub(crate) fn listen_address(&self) -> &str {
        &self.listen_address
    }

    /// A file of the operating system on the sidecar's process.
    pub(crate) fn process_file(&self, file: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{file}", self.sidecar.id()))
    }

    /// The listening sockets of the servers.
    pub(crate) fn servers(&self) -> Vec<TcpListener> {
        self.peers
            .servers
            .iter()
            .map(|server| server.try_clone().expect("a second handle"))
            .collect()
    }

    /// What the sidecar sent to its peers since the last call.
    pub(crate) fn take_transcript(&mut self) -> String {
        std::mem::take(&mut self.transcript)
    }

    /// The party's connection; opened or awaited at its first use.
    fn connection(&mut self, party: &str) -> &mut TcpStream {
        if !self.connections.contains_key(party) {
            let connection = self.open_connection(party);
            connection.set_nonblocking(false).expect("blocking");
            connection
                .set_read_timeout(Some(WAIT_TIMEOUT))
                .expect("a time-out");
            self.connections.insert(party.to_owned(), connection);
        }
        self.connections.get_mut(party).expect("there")
    }

    /// Connects as a client, or waits for the sidecar to connect to the party.
    fn open_connection(&self, party: &str) -> TcpStream {
        match Role::of(party) {
            Role::Client => TcpStream::connect(&self.listen_address).expect("the program accepts"),
            Role::Server => until(party, || self.peers.accept_at_servers()),
            Role::Discovery => until(party, || self.peers.accept_at_discovery()),
            Role::RelocatedDiscovery => until(party, || self.peers.accept_at_relocated_discovery()),
            Role::Process => panic!("{party} has no connection"),
        }
    }
}

fn config_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("arrowstand-{name}-{}.json", std::process::id()))
}

fn spawn_sidecar(config_path: &PathBuf, listen_address: &str, discovery: &TcpListener) -> Child {
    Command::new(env!("CARGO_BIN_EXE_arrowstand"))
        .env("NODE_CONFIG", config_path)
        .env("NODE_LISTEN", listen_address)
        .env("NODE_DISCOVERY", address_of(discovery))
        .stderr(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .expect("the program starts")
}

impl Drop for Harness {
    /// Ends the sidecar, also where the test fails.
    fn drop(&mut self) {
        self.rejects_polls.store(false, Ordering::Relaxed);
        let _ = self.sidecar.kill();
        let _ = self.sidecar.wait();
        let _ = fs::remove_file(&self.config_path);
    }
}
