//! Signals in series, and the restarts that follow them.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::Instant;

use super::{POLL_INTERVAL, Sidecar};
use crate::emulator::{EmulatorError, lock};
use crate::soak::plan::{PlannedSignal, SignalAction};

/// Time between two signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(120);
/// The longest deadline that a shutdown waits for, as the platform defines.
const MAX_SHUTDOWN_DEADLINE_MS: f64 = 3_000.0;
/// Time from SIGTERM to SIGKILL, in addition to the longest deadline.
const SIGKILL_MARGIN: Duration = Duration::from_millis(700);
/// Time from SIGKILL to the start of the next process.
const DOWNTIME: Duration = Duration::from_secs(1);

impl Sidecar {
    /// Carries out the signals of the plan at their times, and returns at the end of the load.
    pub(in crate::soak) async fn play_signals(
        &self,
        signals: &[PlannedSignal],
        duration: Duration,
    ) -> Result<(), EmulatorError> {
        let start = Instant::now();
        for signal in signals {
            self.watch_until(start + signal.at).await;
            match signal.action {
                SignalAction::Reload { signals } => self.reload(signals).await?,
                SignalAction::Kill => self.kill_and_restart().await?,
                SignalAction::Terminate { signals } => self.terminate_and_restart(signals).await?,
            }
        }
        self.watch_until(start + duration).await;
        Ok(())
    }

    /// Waits, and records a process that ends by itself.
    async fn watch_until(&self, end: Instant) {
        while Instant::now() < end {
            if let Some(status) = self.exit_status() {
                self.record.on_unexpected_exit(status.to_string());
                lock(&self.process).child = None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn reload(&self, signals: u32) -> Result<(), EmulatorError> {
        for _ in 0..signals {
            self.discovery.relocate();
            self.write_configuration()?;
            self.signal(Signal::SIGHUP);
            tokio::time::sleep(SIGNAL_INTERVAL).await;
        }
        Ok(())
    }

    async fn kill_and_restart(&self) -> Result<(), EmulatorError> {
        self.kill_process().await;
        tokio::time::sleep(DOWNTIME).await;
        self.start_process()?;
        self.wait_until_ready().await
    }

    /// Sends a series of SIGTERM, and SIGKILL at the earliest time that the platform states.
    async fn terminate_and_restart(&self, signals: u32) -> Result<(), EmulatorError> {
        let kill_at = Instant::now() + self.shutdown_time();
        lock(&self.process).terminated_at = Some(Instant::now());
        self.record.on_terminated();
        for _ in 0..signals {
            self.signal(Signal::SIGTERM);
            tokio::time::sleep(SIGNAL_INTERVAL).await;
        }
        while Instant::now() < kill_at && self.exit_status().is_none() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        match self.exit_status() {
            Some(status) if !status.success() => {
                self.record.on_unexpected_exit(status.to_string());
            }
            Some(_) => {}
            None => self.kill_process().await,
        }
        self.start_process()?;
        self.wait_until_ready().await
    }

    /// Time from SIGTERM to the earliest SIGKILL.
    fn shutdown_time(&self) -> Duration {
        let classes = self.scenario.class.iter();
        let longest_ms = classes.map(|class| class.deadline_ms).fold(0.0, f64::max);
        let deadline_ms = longest_ms.min(MAX_SHUTDOWN_DEADLINE_MS);
        Duration::from_secs_f64(deadline_ms / 1e3) + SIGKILL_MARGIN
    }

    /// Kills the process at the end of the run, once all requests have ended.
    pub(in crate::soak) async fn finish(&self) {
        self.measure();
        self.kill_process().await;
    }

    async fn kill_process(&self) {
        self.measure();
        self.record.on_killed();
        self.signal(Signal::SIGKILL);
        while lock(&self.process).child.is_some() && self.exit_status().is_none() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
