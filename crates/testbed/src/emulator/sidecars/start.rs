//! The start of the sidecars, and their configurations.

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

/// How long a sidecar may take until it is ready.
pub(super) const READY_LIMIT: Duration = Duration::from_secs(20);
/// How often it is asked whether it is.
const READY_POLL: Duration = Duration::from_millis(10);
/// Target and status that say so.
const READY_TARGET: &str = "/ready";
const READY_STATUS: u16 = 200;

impl Sidecars {
    /// Starts all and waits until each is ready.
    ///
    /// # Errors
    /// Where one cannot be started, ends, or does not become ready in time.
    pub(in crate::emulator) async fn start_all(&self) -> Result<(), EmulatorError> {
        for number in 0..self.sidecars.len() {
            self.start(number)?;
        }
        for (number, sidecar) in self.sidecars.iter().enumerate() {
            let ready = self.ready(number, sidecar);
            match tokio::time::timeout(READY_LIMIT, ready).await {
                Ok(ready) => ready?,
                Err(_) => {
                    return Err(EmulatorError::NotReady {
                        sidecar: sidecar.name.clone(),
                        limit: READY_LIMIT,
                        log: self.log(number),
                    });
                }
            }
        }
        Ok(())
    }

    /// Waits until a sidecar is ready or has ended.
    async fn ready(&self, number: usize, sidecar: &Sidecar) -> Result<(), EmulatorError> {
        loop {
            let response = get(sidecar.address, READY_TARGET).await;
            if response.is_ok_and(|response| response.status == READY_STATUS) {
                return Ok(());
            }
            if let Some(status) = sidecar.exit_status() {
                let log = read_log(&self.log(number));
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
    pub(super) fn start(&self, number: usize) -> Result<(), EmulatorError> {
        self.record_state(number, ProcessState::Up);
        let sidecar = &self.sidecars[number];
        let configuration = self.write_configuration(number)?;
        let log = File::create(self.log(number)).map_err(|source| EmulatorError::CreateLog {
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
    fn write_configuration(&self, number: usize) -> Result<PathBuf, EmulatorError> {
        let sidecar = &self.sidecars[number];
        let (endpoints, notifications) = self.discovery.whole_list(number as u32);
        self.discovery
            .record_notifications(number as u32, &notifications);
        let identity = Identity {
            number,
            address: sidecar.address,
            discovery: self.discovery.address(number),
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
        let command = |number| {
            let configuration = self.write_configuration(number)?;
            Ok(format!(
                "NODE_CONFIG={} {program}\n",
                configuration.display()
            ))
        };
        (0..self.sidecars.len()).map(command).collect()
    }
}

async fn get(address: SocketAddr, target: &str) -> std::io::Result<Message> {
    let mut connection = HttpConnection::new(TcpStream::connect(address).await?);
    let request = format!("GET {target} HTTP/1.1\r\nHost: n\r\n\r\n");
    connection.write(&request).await?;
    connection.read_response().await
}
