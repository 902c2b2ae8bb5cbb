//! Applies faults to an emulated server, and ends them: what each fault does to the process, the
//! listeners and the network.
//!
//! `fault_schedule` decides when a fault begins and ends.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{EmulatedServer, Reachability};
use crate::emulator::lock::lock;
use crate::event_log::ServerState;
use crate::index::ServerIndex;

/// Number of times that a restart tries to listen on the server's addresses. An address may stay in
/// use for a while: a sidecar process that was being started when the listener closed may have
/// inherited the listener's socket. If all tries fail, the server stays unreachable.
const MAX_LISTEN_TRIES: usize = 50;
/// Time between two tries.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A fault of the responses, with the share of the responses that it hits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::emulator) enum ResponseFault {
    /// Responses are errors; `None` restores the share of the machine type.
    Errors(Option<f64>),
    /// Responses cannot be parsed.
    Malformed(f64),
    /// The connection is reset instead of a response.
    Reset(f64),
}

impl EmulatedServer {
    /// Stops the process, or the whole machine if `reachability` is `Silent`. All executions are
    /// lost in either case.
    pub(in crate::emulator) async fn stop(self: &Arc<Self>, reachability: Reachability) {
        self.network.send_modify(|network| {
            network.reachability = reachability;
            network.connection_epoch += u32::from(reachability == Reachability::Refusing);
        });
        {
            let mut process = lock(&self.process);
            process.stop(self.shared.clock.now());
        }
        self.listeners.close().await;
        if reachability == Reachability::Silent {
            self.listen_without_accepting();
        }
    }

    /// Starts the server again, cold. If a replacement takes over its addresses, the server gets
    /// the replacement's index.
    pub(in crate::emulator) async fn restart(self: &Arc<Self>, replacement: Option<ServerIndex>) {
        if let Some(index) = replacement {
            self.index.store(index.value(), Ordering::Relaxed);
        }
        self.listeners.close().await;
        let now = self.shared.clock.now();
        lock(&self.process).start(now);
        self.record_state_at(now, ServerState::Cold);
        self.network.send_modify(|network| {
            network.reachability = Reachability::Open;
            network.connection_epoch += 1;
        });
        self.listen_again().await;
        self.process_changed.notify_one();
    }

    async fn listen_again(self: &Arc<Self>) {
        for _ in 0..MAX_LISTEN_TRIES {
            let Err(error) = self.listen().await else {
                return;
            };
            tracing::warn!(server = %self.index(), %error, "emulated server cannot listen yet");
            tokio::time::sleep(LISTEN_RETRY_INTERVAL).await;
        }
    }

    /// Pauses the process, as a long garbage collection does.
    pub(in crate::emulator) fn pause(&self) {
        self.update_process(|process, now| process.pause(now));
        self.record_state(ServerState::Paused);
    }

    pub(in crate::emulator) fn resume(&self) {
        self.update_process(|process, now| process.resume(now));
        self.record_state(ServerState::Up);
    }

    /// Slows the server down by a factor; 1 restores its normal speed.
    pub(in crate::emulator) fn set_slowdown(&self, factor: f64) {
        self.update_process(|process, now| process.set_slowdown(now, factor));
        self.record_state(if factor > 1.0 {
            ServerState::Slow
        } else {
            ServerState::Up
        });
    }

    /// Rejects new attempts from now on, and completes those that are in flight.
    pub(in crate::emulator) fn set_draining(&self) {
        self.update_process(|process, _| process.set_draining());
        self.record_state(ServerState::Draining);
    }

    /// Sets a fault of the responses from now on; a share of 0 ends it.
    pub(in crate::emulator) fn set_response_fault(&self, fault: ResponseFault) {
        self.update_process(|process, _| match fault {
            ResponseFault::Errors(share) => process.set_error_rate(share),
            ResponseFault::Malformed(share) => process.set_malformed_share(share),
            ResponseFault::Reset(share) => process.set_reset_share(share),
        });
    }
}
