//! Starts sidecar processes, writes their configuration files and waits until they are ready.
//!
//! The contents of a configuration are built by `settings`.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::process::Command;

use super::process::Sidecar;
use super::settings::{SidecarIdentity, configuration};
use super::{Sidecars, read_log, write_file};
use crate::emulator::error::EmulatorError;
use crate::emulator::http::{HttpConnection, Message};
use crate::event_log::ProcessState;
use crate::index::SidecarIndex;

/// Time limit for a started sidecar to become ready.
pub(super) const READINESS_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two readiness requests.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Path of the readiness request.
const READINESS_PATH: &str = "/ready";
/// Status of the response of a sidecar that is ready.
const READINESS_STATUS: u16 = 200;

impl Sidecars {
    /// Starts all sidecars and waits until each is ready.
    ///
    /// # Errors
    /// If a sidecar cannot be started, exits, or does not become ready in time.
    pub(in crate::emulator) async fn start_all(&self) -> Result<(), EmulatorError> {
        for index in SidecarIndex::all(self.sidecars.len()) {
            self.start(index)?;
        }
        for (index, sidecar) in self.enumerate() {
            let ready = self.wait_until_ready(index, sidecar);
            match tokio::time::timeout(READINESS_TIMEOUT, ready).await {
                Ok(ready) => ready?,
                Err(_) => {
                    return Err(EmulatorError::NotReady {
                        sidecar: sidecar.name.clone(),
                        limit: READINESS_TIMEOUT,
                        log: self.log_path(index),
                    });
                }
            }
        }
        Ok(())
    }

    /// Waits until a sidecar is ready; fails if it exits first.
    async fn wait_until_ready(
        &self,
        index: SidecarIndex,
        sidecar: &Sidecar,
    ) -> Result<(), EmulatorError> {
        loop {
            let response = http_get(sidecar.address, READINESS_PATH).await;
            if response.is_ok_and(|response| response.status == READINESS_STATUS) {
                return Ok(());
            }
            if let Some(status) = sidecar.exit_status() {
                let log = read_log(&self.log_path(index));
                let last_line = log.lines().last().unwrap_or("nothing in its log");
                return Err(EmulatorError::ExitedAtStart {
                    sidecar: sidecar.name.clone(),
                    status,
                    last_line: last_line.to_owned(),
                });
            }
            tokio::time::sleep(READINESS_POLL_INTERVAL).await;
        }
    }

    /// Starts a new process of a sidecar, with a new configuration and log file.
    pub(super) fn start(&self, index: SidecarIndex) -> Result<(), EmulatorError> {
        self.record_state(index, ProcessState::Up);
        let sidecar = &self.sidecars[index.index()];
        let configuration = self.write_configuration(index)?;
        let log =
            File::create(self.log_path(index)).map_err(|source| EmulatorError::CreateLog {
                sidecar: sidecar.name.clone(),
                source,
            })?;
        let child = Command::new(&self.program)
            .env_remove("NODE_NAME")
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env("NODE_CONFIG", configuration)
            .env("ARROWSTAND_MACHINES", &self.machine_types_path)
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

    /// Writes a sidecar's configuration with the present endpoint list, and records the server
    /// states that the list tells the sidecar.
    fn write_configuration(&self, index: SidecarIndex) -> Result<PathBuf, EmulatorError> {
        let sidecar = &self.sidecars[index.index()];
        let (endpoints, notifications) = self.discovery.full_list(index);
        self.discovery.record_notifications(index, &notifications);
        let identity = SidecarIdentity {
            index,
            address: sidecar.address,
            discovery: self.discovery.address(index),
            seed: sidecar.next_seed(),
            cached_endpoints: &endpoints,
        };
        let text = configuration(&self.shared.scenario, &identity).to_string();
        write_file(self.folder.join(format!("{}.json", sidecar.name)), &text)
    }

    /// Writes the configurations and returns the shell commands that start the sidecars by hand,
    /// one a line.
    ///
    /// # Errors
    /// If a configuration cannot be written.
    pub(in crate::emulator) fn start_commands(&self) -> Result<String, EmulatorError> {
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

async fn http_get(address: SocketAddr, path: &str) -> std::io::Result<Message> {
    let mut connection = HttpConnection::new(TcpStream::connect(address).await?);
    let request = format!("GET {path} HTTP/1.1\r\nHost: n\r\n\r\n");
    connection.write(&request).await?;
    connection.read_response().await
}
