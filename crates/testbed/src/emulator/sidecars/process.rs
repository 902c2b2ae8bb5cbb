//! One sidecar's process: its address, its starts and ends, and the counters of the processes that
//! ended.
//!
//! Owns the handle of the process and what must survive it. What is recorded of its states is the
//! fleet's.

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

/// Time between two looks at whether a killed process is gone.
const KILL_POLL: Duration = Duration::from_millis(1);

/// A sidecar, whose process is started again and again.
pub(super) struct Sidecar {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    /// Rises as a process begins to end.
    incarnation: AtomicU32,
    child: Mutex<Option<Child>>,
    /// Counters of the processes that ended by themselves.
    counters: Mutex<Counters>,
    kills: AtomicU32,
    /// Whether it is killed, and not yet known to be gone.
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

    /// The seed of the next process.
    pub(super) fn next_seed(&self) -> u64 {
        lock(&self.seeds).next_u64()
    }

    pub(super) fn on_started(&self, child: Child) {
        *lock(&self.child) = Some(child);
    }

    /// Counts a process that is killed.
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

    /// The process has ended after it was notified.
    pub(super) fn on_ended(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
    }

    /// Waits until a process that is being killed is known to be gone.
    pub(super) async fn wait_until_killed(&self) {
        while self.being_killed.load(Ordering::SeqCst) {
            tokio::time::sleep(KILL_POLL).await;
        }
    }

    /// How the process ended, if it has.
    pub(super) fn exit_status(&self) -> Option<ExitStatus> {
        lock(&self.child).as_mut()?.try_wait().ok()?
    }

    /// Signals the process, if there is one.
    pub(super) fn signal(&self, signal: Signal) {
        let id = lock(&self.child).as_ref().and_then(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Waits for the process to end, and kills it where it takes too long.
    pub(super) async fn wait(&self, limit: Duration) {
        let child = lock(&self.child).take();
        let Some(mut child) = child else { return };
        if tokio::time::timeout(limit, child.wait()).await.is_err() {
            tracing::warn!(sidecar = %self.name, ?limit, "sidecar did not end in time");
            let _ = child.kill().await;
        }
    }

    /// Adds the counters that a process printed at the end of its log; false if it printed none.
    pub(super) fn add_counters_of(&self, log: &str) -> bool {
        let counters = Counters::at_end_of(log);
        if let Some(counters) = &counters {
            lock(&self.counters).add(counters);
        }
        counters.is_some()
    }

    /// The counters of all processes that ended by themselves.
    pub(super) fn counters(&self) -> Counters {
        lock(&self.counters).clone()
    }
}
