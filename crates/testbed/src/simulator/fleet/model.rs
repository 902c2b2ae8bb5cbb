//! What a server's model does by itself, and when the simulator looks at it next.

use super::Reachability;
use crate::event_log::ServerState;
use crate::index::ServerIndex;
use crate::server_model::Event as ServerModelEvent;
use crate::simulator::Simulator;
use crate::simulator::event::{Cancellation, SimulatorEvent};

impl Simulator<'_> {
    /// Carries out what a server's model did, and plans when to look at it next.
    pub(in crate::simulator) fn apply_server_events(&mut self, server_index: ServerIndex) {
        let mut events = std::mem::take(&mut self.server_events);
        for event in events.drain(..) {
            self.on_server_event(server_index, event);
        }
        self.server_events = events;
        self.schedule_server_event(server_index);
    }

    fn on_server_event(&mut self, server_index: ServerIndex, event: ServerModelEvent) {
        match event {
            ServerModelEvent::Started(_) => {}
            ServerModelEvent::Completed { id, error } => self.on_work_done(server_index, id, error),
            ServerModelEvent::Expired(id) => {
                let dropped = self.servers[server_index.index()].jobs.remove(&id);
                if let Some(key) = dropped {
                    self.remove_if_ended(key);
                }
            }
            ServerModelEvent::OverloadShutdown => {
                self.record_server_state(server_index, ServerState::OverloadShutdown);
                self.end_server_process(server_index);
            }
        }
    }

    fn schedule_server_event(&mut self, server_index: ServerIndex) {
        let now = self.context.now();
        let server = &mut self.servers[server_index.index()];
        let next = server.model.next_event_at();
        if next == server.next_event_at && next.is_none_or(|at| at > now) {
            return;
        }
        server.next_event_at = next;
        server.generation += 1;
        if let Some(at) = next {
            let due = SimulatorEvent::ServerDue(server_index, server.generation);
            self.context.at(at, due);
        }
    }

    pub(in crate::simulator) fn on_server_due(
        &mut self,
        server_index: ServerIndex,
        generation: u32,
    ) {
        let now = self.context.now();
        let server = &mut self.servers[server_index.index()];
        if server.generation == generation {
            server.next_event_at = None;
            server.model.advance(now, &mut self.server_events);
            self.apply_server_events(server_index);
        }
    }

    /// A server notices that an attempt's connection was closed.
    pub(in crate::simulator) fn on_cancellation(&mut self, cancellation: &Cancellation) {
        let now = self.context.now();
        let server_index = cancellation.server;
        let server = &mut self.servers[server_index.index()];
        let is_open = server.reachability == Reachability::Open;
        if server.start != cancellation.server_start || !is_open {
            return;
        }
        let job = cancellation.job;
        let never_runs = server.model.cancel(now, job, &mut self.server_events);
        if never_runs && let Some(key) = server.jobs.remove(&job) {
            self.remove_if_ended(key);
        }
        self.apply_server_events(server_index);
    }

    /// A server's process ends with resets.
    pub(in crate::simulator) fn end_server_process(&mut self, server_index: ServerIndex) {
        let now = self.context.now();
        let server = &mut self.servers[server_index.index()];
        let attempts = server.on_process_ended(now, &mut self.server_events);
        self.reset_attempts(attempts);
    }
}
