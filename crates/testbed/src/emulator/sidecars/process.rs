//! One sidecar: the handle of its present process, and the state that is kept across restarts.
//!
//! State changes are recorded by `Sidecars`.

use std::net::SocketAddr;
use std::process::ExitStatus;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::process::Child;

use super::counters::Counters;
use crate::emulator::lock::lock;
use crate::index::SidecarIndex;
use crate::random::RandomStream;

/// Interval between two checks for the exit of a killed process.
const KILL_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A sidecar, and its process if one runs.
pub(super) struct Sidecar {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    /// Incremented when a kill begins and when a graceful shutdown has ended.
    incarnation: AtomicU32,
    child: Mutex<Option<Child>>,
    /// Sums of the counters of the processes that shut down gracefully.
    counters: Mutex<Counters>,
    kills: AtomicU32,
    /// Whether SIGKILL was sent and the process is not known to have exited.
    being_killed: AtomicBool,
    seeds: Mutex<RandomStream>,
}

impl Sidecar {
    pub(super) fn new(index: SidecarIndex, address: SocketAddr, seeds: RandomStream) -> Self {
        Self {
            name: index.to_string(),
            address,
            incarnation: AtomicU32::new(0),
            child: Mutex::new(None),
            counters: Mutex::default(),
            kills: AtomicU32::new(0),
            being_killed: AtomicBool::new(false),
            seeds: Mutex::new(seeds),
        }
    }

    pub(super) fn incarnation(&self) -> u32 {
        self.incarnation.load(Ordering::SeqCst)
    }

    /// Number of processes that were killed.
    pub(super) fn kills(&self) -> u32 {
        self.kills.load(Ordering::SeqCst)
    }

    /// Draws the random seed of the next process.
    pub(super) fn next_seed(&self) -> u64 {
        lock(&self.seeds).next_u64()
    }

    pub(super) fn on_started(&self, child: Child) {
        *lock(&self.child) = Some(child);
    }

    /// Counts a killed process; called before the signal is sent.
    pub(super) fn count_kill(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.kills.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn on_kill_started(&self) {
        self.being_killed.store(true, Ordering::SeqCst);
    }

    pub(super) fn on_kill_ended(&self) {
        self.being_killed.store(false, Ordering::SeqCst);
    }

    /// Called after the process has exited on SIGTERM, or was killed after its timeout.
    pub(super) fn on_exited(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
    }

    /// Waits until no kill is in progress; returns at once if none is.
    pub(super) async fn wait_for_kill_in_progress(&self) {
        while self.being_killed.load(Ordering::SeqCst) {
            tokio::time::sleep(KILL_POLL_INTERVAL).await;
        }
    }

    /// The exit status, if the process has exited.
    pub(super) fn exit_status(&self) -> Option<ExitStatus> {
        lock(&self.child).as_mut()?.try_wait().ok()?
    }

    /// Sends a signal to the process, if there is one.
    pub(super) fn signal(&self, signal: Signal) {
        let pid = lock(&self.child).as_ref().and_then(Child::id);
        if let Some(pid) = pid.and_then(|pid| i32::try_from(pid).ok()) {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Waits for the process to exit, and kills it at the timeout.
    pub(super) async fn wait_for_exit(&self, timeout: Duration) {
        let child = lock(&self.child).take();
        let Some(mut child) = child else { return };
        if tokio::time::timeout(timeout, child.wait()).await.is_err() {
            tracing::warn!(sidecar = %self.name, limit = ?timeout, "sidecar did not exit in time");
            let _ = child.kill().await;
        }
    }

    /// Adds the counters that a process printed at the end of its log; returns false if there are
    /// none.
    pub(super) fn add_logged_counters(&self, log: &str) -> bool {
        let counters = Counters::from_log(log);
        if let Some(counters) = &counters {
            lock(&self.counters).add(counters);
        }
        counters.is_some()
    }

    /// The sums of the counters of all processes that shut down gracefully.
    pub(super) fn counters(&self) -> Counters {
        lock(&self.counters).clone()
    }
}
