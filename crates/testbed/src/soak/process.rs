//! The sidecar under soak: starts its processes, sends them signals and measures what they use.

mod signals;
mod usage;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::Instant;

use super::SoakOptions;
use super::discovery::Discovery;
use super::plan::Plan;
use super::record::Record;
use crate::emulator::EmulatorError;
use crate::emulator::http::HttpConnection;
use crate::emulator::lock;
use crate::emulator::ports::allocate_address;
use crate::emulator::sidecar_settings::{SidecarIdentity, configuration};
use crate::index::SidecarIndex;
use crate::scenario::{Scenario, ScenarioFile};

pub(super) use usage::Usage;

/// The classes, limits and permissions of the sidecar; the plan sets memory and sockets.
const SCENARIO: &str = include_str!("scenario.toml");
/// Sets the limit on descriptors and becomes the program: `$0` is the limit, `$1` the program.
const START_WITH_LIMIT: &str = r#"ulimit -n "$0" && exec "$1""#;
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time limit for a process to answer that it is ready.
const READINESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Clients still open connections for this long after SIGTERM.
const CONNECTS_AFTER_SIGTERM: Duration = Duration::from_millis(300);

/// The sidecar: its present process, and what is kept across restarts.
pub(super) struct Sidecar {
    pub(super) address: SocketAddr,
    plan: Plan,
    scenario: Scenario,
    program: PathBuf,
    folder: PathBuf,
    discovery: Discovery,
    record: Arc<Record>,
    process: Mutex<Process>,
    usage: Mutex<Usage>,
}

/// The present process of the sidecar.
#[derive(Default)]
struct Process {
    child: Option<Child>,
    terminated_at: Option<Instant>,
    starts: u32,
}

impl Sidecar {
    /// Starts the first process and waits until it is ready.
    pub(super) async fn start(
        plan: &Plan,
        options: &SoakOptions,
        discovery: Discovery,
        record: &Arc<Record>,
    ) -> Result<Arc<Self>, EmulatorError> {
        let sidecar = Arc::new(Self {
            address: allocate_address()?,
            plan: plan.clone(),
            scenario: scenario(plan),
            program: options.program.clone(),
            folder: options.folder.clone(),
            discovery,
            record: Arc::clone(record),
            process: Mutex::default(),
            usage: Mutex::default(),
        });
        sidecar.start_process()?;
        sidecar.wait_until_ready().await?;
        Ok(sidecar)
    }

    /// False while a client must not open a new connection: the platform's clients do so for a
    /// short time after SIGTERM only.
    pub(super) fn may_connect(&self) -> bool {
        let terminated_at = lock(&self.process).terminated_at;
        terminated_at.is_none_or(|at| at.elapsed() < CONNECTS_AFTER_SIGTERM)
    }

    /// Waits until a client may open a new connection.
    pub(super) async fn wait_until_connectable(&self) {
        while !self.may_connect() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub(super) fn usage(&self) -> Usage {
        *lock(&self.usage)
    }

    fn exit_status(&self) -> Option<ExitStatus> {
        lock(&self.process).child.as_mut()?.try_wait().ok()?
    }

    fn pid(&self) -> Option<i32> {
        let pid = lock(&self.process).child.as_ref()?.id()?;
        i32::try_from(pid).ok()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    fn start_process(&self) -> Result<(), EmulatorError> {
        let configuration = self.write_configuration()?;
        let starts = lock(&self.process).starts + 1;
        let log_path = self.folder.join(format!("sidecar-{starts}.log"));
        let log = fs::File::create(log_path).map_err(|source| EmulatorError::CreateLog {
            sidecar: "sidecar".to_owned(),
            source,
        })?;
        let child = Command::new("/bin/sh")
            .args(["-c", START_WITH_LIMIT, &self.plan.sockets.to_string()])
            .arg(&self.program)
            .env_remove("NODE_NAME")
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env_remove("ARROWSTAND_MACHINES")
            .env("NODE_CONFIG", configuration)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| EmulatorError::Spawn {
                program: self.program.clone(),
                source,
            })?;
        self.record.on_process_started();
        *lock(&self.process) = Process {
            child: Some(child),
            terminated_at: None,
            starts,
        };
        Ok(())
    }

    fn write_configuration(&self) -> Result<PathBuf, EmulatorError> {
        let identity = SidecarIdentity {
            index: SidecarIndex::new(0),
            address: self.address,
            discovery: self.discovery.address(),
            seed: self.plan.seed,
            cached_endpoints: self.discovery.list(),
        };
        let path = self.folder.join("sidecar.json");
        let text = configuration(&self.scenario, &identity).to_string();
        match fs::write(&path, text) {
            Ok(()) => Ok(path),
            Err(source) => Err(EmulatorError::Write { path, source }),
        }
    }

    async fn wait_until_ready(&self) -> Result<(), EmulatorError> {
        let start = Instant::now();
        while !is_ready(self.address).await {
            if let Some(status) = self.exit_status() {
                return Err(EmulatorError::ExitedAtStart {
                    sidecar: "sidecar".to_owned(),
                    status,
                    last_line: "see its log".to_owned(),
                });
            }
            if start.elapsed() > READINESS_TIMEOUT {
                return Err(EmulatorError::NotReady {
                    sidecar: "sidecar".to_owned(),
                    limit: READINESS_TIMEOUT,
                    log: self.folder.clone(),
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

/// The scenario whose settings the sidecar gets.
///
/// # Panics
/// If the scenario that is part of this program is invalid.
fn scenario(plan: &Plan) -> Scenario {
    let file = ScenarioFile::read("soak", SCENARIO)
        .unwrap_or_else(|errors| panic!("the scenario of the soak is invalid: {errors}"));
    let mut scenario = file.scenario;
    scenario.sidecars.memory_mb = plan.memory_mb;
    scenario.sidecars.sockets = plan.sockets;
    scenario
}

async fn is_ready(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address).await else {
        return false;
    };
    let mut connection = HttpConnection::new(stream);
    let request = "GET /ready HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n";
    if connection.write(request).await.is_err() {
        return false;
    }
    let response = tokio::time::timeout(Duration::from_secs(1), connection.read_response()).await;
    // Beside a crowd a process that is up may reject this request.
    response.is_ok_and(|response| response.is_ok())
}
