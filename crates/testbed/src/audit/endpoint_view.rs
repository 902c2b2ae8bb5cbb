//! The state of each server according to the notifications that each sidecar received.
//!
//! It is derived from the notifications in the log alone. The endpoint table in a sidecar's memory
//! may differ, and the rules do not consider it.

use rustc_hash::FxHashMap;

use crate::event_log::{ListedStatus, ProcessState};
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::Micros;

/// The state of one server according to the notifications that one sidecar received.
#[derive(Default)]
struct EndpointView {
    /// When the sidecar was first notified that the server drains or is gone; `None` if it was
    /// notified since then that the server is ready.
    unavailable_since: Option<Micros>,
    /// The server's latest start that the sidecar was notified of; 0 for one before the run.
    started_at: Micros,
}

/// The views of all sidecars.
#[derive(Default)]
pub(super) struct EndpointViews {
    by_sidecar: FxHashMap<SidecarIndex, FxHashMap<ServerIndex, EndpointView>>,
}

impl EndpointViews {
    fn get(&self, sidecar: SidecarIndex, server: ServerIndex) -> Option<&EndpointView> {
        self.by_sidecar.get(&sidecar)?.get(&server)
    }

    /// When the sidecar was first notified that the server drains or is gone; `None` if the server
    /// is available to it.
    pub(super) fn unavailable_since(
        &self,
        sidecar: SidecarIndex,
        server: ServerIndex,
    ) -> Option<Micros> {
        self.get(sidecar, server)?.unavailable_since
    }

    /// The latest start of the server that the sidecar was notified of; `None` if the sidecar does
    /// not know the server.
    pub(super) fn notified_start(
        &self,
        sidecar: SidecarIndex,
        server: ServerIndex,
    ) -> Option<Micros> {
        Some(self.get(sidecar, server)?.started_at)
    }

    pub(super) fn on_endpoint_listed(
        &mut self,
        at: Micros,
        sidecar: SidecarIndex,
        server: ServerIndex,
        status: ListedStatus,
        started_at: Micros,
    ) {
        let views = self.by_sidecar.entry(sidecar).or_default();
        let view = views.entry(server).or_default();
        view.started_at = view.started_at.max(started_at);
        view.unavailable_since = if status == ListedStatus::Ready {
            None
        } else {
            view.unavailable_since.or(Some(at))
        };
    }

    /// Discards the views of a sidecar that started, exited or was killed. One that is shutting
    /// down keeps them.
    pub(super) fn on_sidecar_state(&mut self, sidecar: SidecarIndex, state: ProcessState) {
        if state != ProcessState::ShuttingDown {
            self.by_sidecar.remove(&sidecar);
        }
    }
}
