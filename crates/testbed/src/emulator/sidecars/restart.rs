//! Restarts a sidecar, after SIGKILL or a graceful shutdown.
//!
//! Records each state change of the restart. `fault_schedule` decides when a restart happens.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::Instant;

use super::start::READINESS_TIMEOUT;
use super::{Sidecars, read_log};
use crate::event_log::ProcessState;
use crate::index::SidecarIndex;
use crate::scenario::{Micros, from_ms};

/// Time that a sidecar has to respond to its open requests during a graceful shutdown, in
/// milliseconds, unless a request class of the scenario has a longer deadline.
const MIN_SHUTDOWN_TIMEOUT_MS: f64 = 3_000.0;
/// Time that a sidecar has to exit after that, in microseconds; it is killed if it has not.
const SHUTDOWN_MARGIN: Micros = 900_000;
/// Time limit for a process to exit after SIGKILL.
const KILL_TIMEOUT: Duration = READINESS_TIMEOUT;

/// How a sidecar's process is terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::emulator) enum Termination {
    /// With SIGKILL; its open requests are lost.
    Kill,
    /// With SIGTERM; it responds to its open requests and exits.
    Graceful,
}

impl Sidecars {
    /// Terminates a sidecar and starts it again `downtime` later, or as soon as the old process has
    /// exited if that takes longer.
    pub(in crate::emulator) async fn restart(
        &self,
        index: SidecarIndex,
        downtime: Micros,
        termination: Termination,
    ) {
        let start_at = Instant::now() + Duration::from_micros(downtime);
        match termination {
            Termination::Kill => self.kill(index).await,
            Termination::Graceful => self.shut_down(index).await,
        }
        tokio::time::sleep_until(start_at).await;
        if let Err(error) = self.start(index) {
            tracing::error!(sidecar = %index, %error, "failed to restart the sidecar");
        }
    }

    async fn kill(&self, index: SidecarIndex) {
        let sidecar = &self.sidecars[index.index()];
        sidecar.count_kill();
        self.record_state(index, ProcessState::Killed);
        sidecar.on_kill_started();
        sidecar.signal(Signal::SIGKILL);
        sidecar.wait_for_exit(KILL_TIMEOUT).await;
        // Recorded again, as requests accepted between the signal and the exit are lost too.
        self.record_state(index, ProcessState::Killed);
        sidecar.on_kill_ended();
    }

    async fn shut_down(&self, index: SidecarIndex) {
        let sidecar = &self.sidecars[index.index()];
        self.record_state(index, ProcessState::ShuttingDown);
        let log_path = self.log_path(index);
        sidecar.signal(Signal::SIGTERM);
        sidecar.wait_for_exit(self.shutdown_timeout()).await;
        sidecar.on_exited();
        self.record_state(index, ProcessState::Exited);
        sidecar.add_logged_counters(&read_log(&log_path));
    }

    fn shutdown_timeout(&self) -> Duration {
        let classes = self.shared.scenario.class.iter();
        let longest_ms = classes
            .map(|class| class.deadline_ms)
            .fold(MIN_SHUTDOWN_TIMEOUT_MS, f64::max);
        Duration::from_micros(from_ms(longest_ms) + SHUTDOWN_MARGIN)
    }
}
