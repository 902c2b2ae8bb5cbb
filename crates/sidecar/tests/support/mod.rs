//! Test harness: runs the sidecar's program, while the test acts as its clients, servers and
//! discovery.
#![allow(dead_code, reason = "each test program uses a part of this module")]

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

/// Timeout for each event that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A running sidecar and its peers; what the sidecar sends to them is recorded in the transcript.
pub(crate) struct Harness {
    sidecar: Child,
    listen_address: String,
    peers: Peers,
    config_path: PathBuf,
    /// The configuration at startup.
    config: String,
    /// Open connections by the name of the party in the recording.
    connections: HashMap<String, TcpStream>,
    transcript: String,
    /// Reserves the sidecar's listen address.
    _reserved_address: ReservedAddress,
    /// True while every poll of discovery is rejected.
    rejects_polls: Arc<AtomicBool>,
    /// When the first SIGTERM was sent.
    sigterm_sent_at: Option<Instant>,
}

/// A configuration with an empty endpoint list and the options of a recording's first line.
pub(crate) fn config_with(options: &str) -> String {
    Options::parse(options).config(&[])
}

/// Polls `check` until it returns a value; `event` names what is awaited in the error message.
///
/// # Panics
/// If `check` returns no value within [`WAIT_TIMEOUT`].
pub(crate) fn wait_for<T>(event: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {event}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

impl Harness {
    /// Starts a sidecar with the peers that a recording's first line specifies; `name` makes the
    /// path of the configuration unique.
    pub(crate) fn start(name: &str, first_line: &str) -> Self {
        let options = Options::parse(first_line);
        let peers = Peers::bind(&options);
        let reserved_address = ReservedAddress::new();
        let listen_address = reserved_address.address().to_owned();
        let config = options.config(&peers.listed_addresses);
        let config_path = config_path(name);
        fs::write(&config_path, &config).expect("configuration is written");
        let mut command = sidecar_command(options.descriptors);
        let sidecar = spawn_sidecar(
            &mut command,
            &config_path,
            &listen_address,
            &peers.discovery,
        );
        wait_for("the sidecar to listen", || {
            TcpStream::connect(&listen_address).ok()
        });
        Self {
            sidecar,
            listen_address,
            peers,
            config_path,
            config,
            connections: HashMap::new(),
            transcript: String::new(),
            _reserved_address: reserved_address,
            rejects_polls: Arc::default(),
            sigterm_sent_at: None,
        }
    }

    pub(crate) fn listen_address(&self) -> &str {
        &self.listen_address
    }

    /// The path of a file in the sidecar's directory under `/proc`.
    pub(crate) fn proc_file_path(&self, file: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{file}", self.sidecar.id()))
    }

    /// Duplicates of the servers' listening sockets.
    pub(crate) fn servers(&self) -> Vec<TcpListener> {
        self.peers
            .servers
            .iter()
            .map(|server| server.try_clone().expect("listener is duplicated"))
            .collect()
    }

    /// A duplicate of the party's connection, for a thread of the test.
    pub(crate) fn duplicate_connection(&mut self, party: &str) -> TcpStream {
        self.connection(party)
            .try_clone()
            .expect("connection is duplicated")
    }

    /// Returns the transcript since the last call.
    pub(crate) fn take_transcript(&mut self) -> String {
        std::mem::take(&mut self.transcript)
    }

    /// The party's connection, which is opened or awaited at its first use.
    fn connection(&mut self, party: &str) -> &mut TcpStream {
        if !self.connections.contains_key(party) {
            let connection = self.open_connection(party);
            connection
                .set_nonblocking(false)
                .expect("connection is blocking");
            connection
                .set_read_timeout(Some(WAIT_TIMEOUT))
                .expect("timeout is set");
            self.connections.insert(party.to_owned(), connection);
        }
        self.connections.get_mut(party).expect("connection is open")
    }

    /// Connects as a client, or waits for the sidecar to connect to the party.
    fn open_connection(&self, party: &str) -> TcpStream {
        match Role::of(party) {
            Role::Client => TcpStream::connect(&self.listen_address).expect("sidecar accepts"),
            Role::Server => wait_for(party, || self.peers.accept_at_servers()),
            Role::Discovery => wait_for(party, || self.peers.accept_at_discovery()),
            Role::RelocatedDiscovery => {
                wait_for(party, || self.peers.accept_at_relocated_discovery())
            }
            Role::Process => panic!("{party} has no connection"),
        }
    }
}

fn config_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("arrowstand-{name}-{}.json", std::process::id()))
}

/// The command that starts the sidecar, with a limit on its file descriptors if there is one.
fn sidecar_command(max_descriptors: Option<usize>) -> Command {
    let program = env!("CARGO_BIN_EXE_arrowstand");
    let Some(max_descriptors) = max_descriptors else {
        return Command::new(program);
    };
    let mut shell = Command::new("/bin/sh");
    shell
        .arg("-c")
        .arg(format!("ulimit -n {max_descriptors} && exec {program}"));
    shell
}

fn spawn_sidecar(
    command: &mut Command,
    config_path: &PathBuf,
    listen_address: &str,
    discovery: &TcpListener,
) -> Child {
    command
        .env("NODE_CONFIG", config_path)
        .env("NODE_LISTEN", listen_address)
        .env("NODE_DISCOVERY", address_of(discovery))
        .stderr(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .expect("sidecar starts")
}

impl Drop for Harness {
    /// Kills the sidecar, also if the test has failed.
    fn drop(&mut self) {
        self.rejects_polls.store(false, Ordering::Relaxed);
        let _ = self.sidecar.kill();
        let _ = self.sidecar.wait();
        let _ = fs::remove_file(&self.config_path);
    }
}
