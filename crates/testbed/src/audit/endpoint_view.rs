//! What each sidecar was notified of about each server.
//!
//! Owns the views, from the notifications in the log; a sidecar's own table may differ and does not
//! count.

use rustc_hash::FxHashMap;

use crate::event_log::{ListedStatus, ProcessState};
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::Micros;

/// A server as one sidecar knows it.
#[derive(Default)]
struct EndpointView {
    /// When its drain or end was first notified, unless it was ready again since.
    unavailable_since: Option<Micros>,
    /// The latest start that was notified; 0 for one before the run.
    started_at: Micros,
}

/// All views, by sidecar and server.
#[derive(Default)]
pub(super) struct EndpointViews {
    by_sidecar: FxHashMap<SidecarIndex, FxHashMap<ServerIndex, EndpointView>>,
}

impl EndpointViews {
    fn get(&self, sidecar: SidecarIndex, server: ServerIndex) -> Option<&EndpointView> {
        self.by_sidecar.get(&sidecar)?.get(&server)
    }

    /// When the sidecar was notified that the server drains or is gone.
    pub(super) fn unavailable_since(
        &self,
        sidecar: SidecarIndex,
        server: ServerIndex,
    ) -> Option<Micros> {
        self.get(sidecar, server)?.unavailable_since
    }

    /// The latest start of the server that the sidecar was notified of; nothing if it does not know
    /// the server.
    pub(super) fn notified_start(
        &self,
        sidecar: SidecarIndex,
        server: ServerIndex,
    ) -> Option<Micros> {
        Some(self.get(sidecar, server)?.started_at)
    }

    pub(super) fn on_notified(
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

    /// A sidecar that starts or has ended knows nothing; one that is shutting down keeps what it
    /// knows.
    pub(super) fn on_sidecar_state(&mut self, sidecar: SidecarIndex, state: ProcessState) {
        if state != ProcessState::ShuttingDown {
            self.by_sidecar.remove(&sidecar);
        }
    }
}
