//! What the sidecar's processes use, as the operating system shows it.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use super::Sidecar;
use crate::emulator::lock;

/// Interval at which memory and descriptors are measured.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// What the processes used at most.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::soak) struct Usage {
    /// Resident memory, with files that are mapped.
    pub(in crate::soak) peak_memory_kib: u64,
    /// Resident memory at the last measurement.
    pub(in crate::soak) last_memory_kib: u64,
    pub(in crate::soak) peak_descriptors: u64,
}

impl Sidecar {
    /// Measures the present process again and again.
    pub(in crate::soak) async fn sample(self: Arc<Self>) {
        loop {
            self.measure();
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    pub(super) fn measure(&self) {
        let Some(pid) = self.pid() else { return };
        let folder = PathBuf::from(format!("/proc/{pid}"));
        let status = fs::read_to_string(folder.join("status")).unwrap_or_default();
        let descriptors = fs::read_dir(folder.join("fd")).map_or(0, Iterator::count) as u64;
        let mut usage = lock(&self.usage);
        if let Some(kib) = status_kib(&status, "VmHWM:") {
            usage.peak_memory_kib = usage.peak_memory_kib.max(kib);
        }
        if let Some(kib) = status_kib(&status, "VmRSS:") {
            usage.last_memory_kib = kib;
        }
        usage.peak_descriptors = usage.peak_descriptors.max(descriptors);
    }
}

/// A value in KiB of the status that the system shows of a process.
fn status_kib(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}
