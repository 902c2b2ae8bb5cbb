//! The faults that an emulated server suffers, and its recovery from them.
//!
//! Owns what each fault does to process, listeners and network. When it begins and ends is known by
//! `fault_schedule`.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{EmulatedServer, NetworkMode};
use crate::emulator::lock::lock;
use crate::event_log::ServerState;
use crate::index::ServerIndex;

/// How often a start tries to listen on the server's addresses: a closed listener's socket may
/// linger in a process that was being started. After these the server stays unreachable.
const MAX_LISTEN_ATTEMPTS: usize = 50;
/// Pause between two of these attempts.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// What goes wrong with a server's responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::emulator) enum ResponseFault {
    /// They are errors; the share is the machine type's own if absent.
    Errors(Option<f64>),
    /// They cannot be parsed.
    Malformed(f64),
    /// The connection is reset instead.
    Reset(f64),
}

impl EmulatedServer {
    /// The process or its machine is gone, with all that executed in it.
    pub(in crate::emulator) async fn stop(self: &Arc<Self>, mode: NetworkMode) {
        self.network.send_modify(|network| {
            network.mode = mode;
            network.connection_epoch += u32::from(mode == NetworkMode::Refusing);
        });
        {
            let mut process = lock(&self.process);
            process.on_stopped(self.shared.clock.now());
        }
        self.listeners.close().await;
        if mode == NetworkMode::Silent {
            self.listen_without_accepting();
        }
    }

    /// Starts it again, cold; under another index where it replaces the one before.
    pub(in crate::emulator) async fn restart(self: &Arc<Self>, replacement: Option<ServerIndex>) {
        if let Some(index) = replacement {
            self.index.store(index.value(), Ordering::Relaxed);
        }
        self.listeners.close().await;
        let now = self.shared.clock.now();
        lock(&self.process).on_started(now);
        self.record_state_at(now, ServerState::Cold);
        self.network.send_modify(|network| {
            network.mode = NetworkMode::Open;
            network.connection_epoch += 1;
        });
        self.listen_again().await;
        self.process_changed.notify_one();
    }

    async fn listen_again(self: &Arc<Self>) {
        for _ in 0..MAX_LISTEN_ATTEMPTS {
            let Err(error) = self.listen().await else {
                return;
            };
            tracing::warn!(server = %self.index(), %error, "emulated server cannot listen yet");
            tokio::time::sleep(LISTEN_RETRY_INTERVAL).await;
        }
    }

    /// The process stands still, as in a long garbage collection.
    pub(in crate::emulator) fn pause(&self) {
        self.update_process(|process, now| process.pause(now));
        self.record_state(ServerState::Paused);
    }

    /// The process goes on after a pause.
    pub(in crate::emulator) fn resume(&self) {
        self.update_process(|process, now| process.resume(now));
        self.record_state(ServerState::Up);
    }

    /// Serves slower by a factor; 1 for as usual.
    pub(in crate::emulator) fn set_slowdown(&self, factor: f64) {
        self.update_process(|process, now| process.set_slowdown(now, factor));
        self.record_state(if factor > 1.0 {
            ServerState::Slow
        } else {
            ServerState::Up
        });
    }

    /// Rejects new attempts from now on, and finishes those that it has.
    pub(in crate::emulator) fn set_draining(&self) {
        self.update_process(|process, _| process.set_draining());
        self.record_state(ServerState::Draining);
    }

    /// Sets what goes wrong with the responses from now on.
    pub(in crate::emulator) fn set_response_fault(&self, fault: ResponseFault) {
        self.update_process(|process, _| match fault {
            ResponseFault::Errors(share) => process.set_error_share(share),
            ResponseFault::Malformed(share) => process.set_malformed_share(share),
            ResponseFault::Reset(share) => process.set_reset_share(share),
        });
    }
}
