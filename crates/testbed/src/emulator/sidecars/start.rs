//! The start of the sidecars, and their configurations.
//!
//! Owns the environment of a process and the wait until it is ready; what a configuration says is
//! known by `settings`.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::process::Command;

use super::process::Sidecar;
use super::settings::{Identity, configuration};
use super::{Sidecars, read_log, write};
use crate::emulator::error::EmulatorError;
use crate::emulator::http::{HttpConnection, Message};
use crate::event_log::ProcessState;
use crate::index::SidecarIndex;

/// How long a sidecar may take until it is ready.
pub(super) const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time between two questions whether it is.
const READY_POLL: Duration = Duration::from_millis(10);
/// Target of the question.
const READY_TARGET: &str = "/ready";
/// Status of the response that says so.
const READY_STATUS: u16 = 200;

impl Sidecars {
    /// Starts all and waits until each is ready.
    ///
    /// # Errors
    /// Where one cannot be started, ends, or does not become ready in time.
    pub(in crate::emulator) async fn start_all(&self) -> Result<(), EmulatorError> {
        for index in SidecarIndex::all(self.sidecars.len()) {
            self.start(index)?;
        }
        for (index, sidecar) in self.enumerate() {
            let ready = self.ready(index, sidecar);
            match tokio::time::timeout(READY_LIMIT, ready).await {
                Ok(ready) => ready?,
                Err(_) => {
                    return Err(EmulatorError::NotReady {
                        sidecar: sidecar.name.clone(),
                        limit: READY_LIMIT,
                        log: self.log(index),
                    });
                }
            }
        }
        Ok(())
    }

    /// Waits until a sidecar is ready or has ended.
    async fn ready(&self, index: SidecarIndex, sidecar: &Sidecar) -> Result<(), EmulatorError> {
        loop {
            let response = get(sidecar.address, READY_TARGET).await;
            if response.is_ok_and(|response| response.status == READY_STATUS) {
                return Ok(());
            }
            if let Some(status) = sidecar.exit_status() {
                let log = read_log(&self.log(index));
                let last_line = log.lines().last().unwrap_or("nothing in its log");
                return Err(EmulatorError::EndedAtStart {
                    sidecar: sidecar.name.clone(),
                    status,
                    last_line: last_line.to_owned(),
                });
            }
            tokio::time::sleep(READY_POLL).await;
        }
    }

    /// Starts a sidecar's next process.
    pub(super) fn start(&self, index: SidecarIndex) -> Result<(), EmulatorError> {
        self.record_state(index, ProcessState::Up);
        let sidecar = &self.sidecars[index.index()];
        let configuration = self.write_configuration(index)?;
        let log = File::create(self.log(index)).map_err(|source| EmulatorError::CreateLog {
            sidecar: sidecar.name.clone(),
            source,
        })?;
        let child = Command::new(&self.program)
            .env_remove("NODE_NAME")
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env("NODE_CONFIG", configuration)
            .env("ARROWSTAND_MACHINES", &self.machine_types)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| EmulatorError::Spawn {
                program: self.program.clone(),
                source,
            })?;
        sidecar.on_started(child);
        Ok(())
    }

    /// Writes a sidecar's configuration with the present endpoint list, and records what it says of
    /// the servers.
    fn write_configuration(&self, index: SidecarIndex) -> Result<PathBuf, EmulatorError> {
        let sidecar = &self.sidecars[index.index()];
        let (endpoints, notifications) = self.discovery.full_list(index);
        self.discovery.record_notifications(index, &notifications);
        let identity = Identity {
            index,
            address: sidecar.address,
            discovery: self.discovery.address(index),
            seed: sidecar.next_seed(),
            cached_endpoints: &endpoints,
        };
        let text = configuration(&self.shared.scenario, &identity).to_string();
        write(self.folder.join(format!("{}.json", sidecar.name)), &text)
    }

    /// Writes the configurations; the commands that start the sidecars by hand, a line each.
    ///
    /// # Errors
    /// Where a configuration cannot be written.
    pub(in crate::emulator) fn commands(&self) -> Result<String, EmulatorError> {
        let program = self.program.display();
        let command = |index| {
            let configuration = self.write_configuration(index)?;
            Ok(format!(
                "NODE_CONFIG={} {program}\n",
                configuration.display()
            ))
        };
        SidecarIndex::all(self.sidecars.len())
            .map(command)
            .collect()
    }
}

async fn get(address: SocketAddr, target: &str) -> std::io::Result<Message> {
    let mut connection = HttpConnection::new(TcpStream::connect(address).await?);
    let request = format!("GET {target} HTTP/1.1\r\nHost: n\r\n\r\n");
    connection.write(&request).await?;
    connection.read_response().await
}
