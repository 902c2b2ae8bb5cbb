//! The restart of a sidecar: killed outright, or notified and waited for.
//!
//! Owns the steps of a restart and their records; when it is due is known by `fault_schedule`.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::Instant;

use super::start::READY_LIMIT;
use super::{Sidecars, read_log};
use crate::event_log::ProcessState;
use crate::index::SidecarIndex;
use crate::scenario::{Micros, from_ms};

/// Milliseconds that a sidecar has at least to respond to what it has accepted as it shuts down; a
/// scenario's longest deadline counts where it is longer.
const MIN_DEADLINE_MS: f64 = 3_000.0;
/// Microseconds beyond that deadline after which a sidecar that has not exited is killed.
const SHUTDOWN_MARGIN: Micros = 900_000;

/// How a sidecar's process is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::emulator) enum Termination {
    /// Outright, with all that it has in flight.
    Kill,
    /// It is notified, responds to what it has accepted, and exits.
    Graceful,
}

impl Sidecars {
    /// Restarts a sidecar so that it is back after `down`, or later where its end takes longer.
    pub(in crate::emulator) async fn restart(
        &self,
        index: SidecarIndex,
        down: Micros,
        termination: Termination,
    ) {
        let back_at = Instant::now() + Duration::from_micros(down);
        match termination {
            Termination::Kill => self.kill(index).await,
            Termination::Graceful => self.shut_down(index).await,
        }
        tokio::time::sleep_until(back_at).await;
        if let Err(error) = self.start(index) {
            tracing::error!(sidecar = %index, %error, "sidecar did not start again");
        }
    }

    async fn kill(&self, index: SidecarIndex) {
        let sidecar = &self.sidecars[index.index()];
        sidecar.count_kill();
        self.record_state(index, ProcessState::Killed);
        sidecar.on_kill_started();
        sidecar.signal(Signal::SIGKILL);
        sidecar.wait(READY_LIMIT).await;
        // What came between the signal and its effect was lost by the same kill.
        self.record_state(index, ProcessState::Killed);
        sidecar.on_kill_ended();
    }

    async fn shut_down(&self, index: SidecarIndex) {
        let sidecar = &self.sidecars[index.index()];
        self.record_state(index, ProcessState::ShuttingDown);
        let log = self.log(index);
        sidecar.signal(Signal::SIGTERM);
        sidecar.wait(self.shutdown_limit()).await;
        sidecar.on_ended();
        self.record_state(index, ProcessState::Exited);
        sidecar.add_counters_of(&read_log(&log));
    }

    fn shutdown_limit(&self) -> Duration {
        let classes = self.shared.scenario.class.iter();
        let longest_ms = classes
            .map(|class| class.deadline_ms)
            .fold(MIN_DEADLINE_MS, f64::max);
        Duration::from_micros(from_ms(longest_ms) + SHUTDOWN_MARGIN)
    }
}
