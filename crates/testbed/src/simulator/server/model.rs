//! What a server's model does by itself, and when the simulator looks at it next.

use super::Reachability;
use crate::event_log::ServerState;
use crate::server_model::Event as ServerModelEvent;
use crate::simulator::Simulator;
use crate::simulator::event::{Cancellation, SimulatorEvent};

impl Simulator<'_> {
    /// Carries out what a server's model did, and plans when to look at it next.
    pub(in crate::simulator) fn apply_server_events(&mut self, number: u32) {
        let mut events = std::mem::take(&mut self.server_events);
        for event in events.drain(..) {
            self.on_server_event(number, event);
        }
        self.server_events = events;
        self.schedule_server_event(number);
    }

    fn on_server_event(&mut self, number: u32, event: ServerModelEvent) {
        match event {
            ServerModelEvent::Started(_) => {}
            ServerModelEvent::Completed { id, error } => self.on_work_done(number, id, error),
            ServerModelEvent::Expired(id) => {
                let dropped = self.servers[number as usize].jobs.remove(&id);
                if let Some(key) = dropped {
                    self.remove_if_ended(key);
                }
            }
            ServerModelEvent::OverloadShutdown => {
                self.record_server_state(number, ServerState::OverloadShutdown);
                self.end_server_process(number);
            }
        }
    }

    fn schedule_server_event(&mut self, number: u32) {
        let now = self.timeline.now();
        let server = &mut self.servers[number as usize];
        let next = server.model.next_event_at();
        if next == server.next_event_at && next.is_none_or(|at| at > now) {
            return;
        }
        server.next_event_at = next;
        server.generation += 1;
        if let Some(at) = next {
            let due = SimulatorEvent::ServerDue(number, server.generation);
            self.timeline.at(at, due);
        }
    }

    pub(in crate::simulator) fn on_server_due(&mut self, number: u32, generation: u32) {
        let now = self.timeline.now();
        let server = &mut self.servers[number as usize];
        if server.generation == generation {
            server.next_event_at = None;
            server.model.advance(now, &mut self.server_events);
            self.apply_server_events(number);
        }
    }

    /// A server notices that an attempt's connection was closed.
    pub(in crate::simulator) fn on_cancellation(&mut self, cancellation: &Cancellation) {
        let now = self.timeline.now();
        let number = cancellation.server;
        let server = &mut self.servers[number as usize];
        let is_open = server.reachability == Reachability::Open;
        if server.start != cancellation.server_start || !is_open {
            return;
        }
        let job = cancellation.job;
        let never_runs = server.model.cancel(now, job, &mut self.server_events);
        if never_runs && let Some(key) = server.jobs.remove(&job) {
            self.remove_if_ended(key);
        }
        self.apply_server_events(number);
    }

    /// A server's process ends with resets.
    pub(in crate::simulator) fn end_server_process(&mut self, number: u32) {
        let now = self.timeline.now();
        let server = &mut self.servers[number as usize];
        let attempts = server.on_process_ended(now, &mut self.server_events);
        self.reset_attempts(attempts);
    }
}
