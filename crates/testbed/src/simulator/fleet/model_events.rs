//! Applies the events of a server's model, and schedules when to advance it next.

use super::Fleet;
use crate::event_log::ServerState;
use crate::index::ServerIndex;
use crate::server_model::ServerModelEvent;
use crate::simulator::attempts::Attempts;
use crate::simulator::context::Context;
use crate::simulator::event::SimulatorEvent;

impl Fleet {
    /// Advances a server's model when its next event is due. An event with an old `generation` is
    /// ignored.
    pub(in crate::simulator) fn on_server_timer(
        &mut self,
        server_index: ServerIndex,
        generation: u32,
        attempts: &mut Attempts,
        context: &mut Context<'_>,
    ) {
        let server = &mut self.servers[server_index.index()];
        if server.advance(context.now(), generation, &mut self.model_events) {
            self.apply_model_events(server_index, attempts, context);
        }
    }

    /// Applies the events that a server's model returned, and schedules its next one.
    pub(super) fn apply_model_events(
        &mut self,
        server_index: ServerIndex,
        attempts: &mut Attempts,
        context: &mut Context<'_>,
    ) {
        let mut events = std::mem::take(&mut self.model_events);
        for event in events.drain(..) {
            self.on_model_event(server_index, event, attempts, context);
        }
        self.model_events = events;
        let server = self.server_mut(server_index);
        if let Some((generation, at)) = server.reschedule(context.now()) {
            context.schedule_at(at, SimulatorEvent::ServerTimer(server_index, generation));
        }
    }

    fn on_model_event(
        &mut self,
        server_index: ServerIndex,
        event: ServerModelEvent,
        attempts: &mut Attempts,
        context: &mut Context<'_>,
    ) {
        match event {
            ServerModelEvent::Started(_) => {}
            ServerModelEvent::Completed { id, error } => {
                self.on_work_done(server_index, id, error, attempts, context);
            }
            ServerModelEvent::Expired(id) => {
                if let Some(key) = self.server_mut(server_index).on_job_ended(id) {
                    attempts.remove_if_ended(key);
                }
            }
            ServerModelEvent::OverloadShutdown => {
                self.record_state(server_index, ServerState::OverloadShutdown, context);
                self.end_process(server_index, attempts, context);
            }
        }
    }
}
