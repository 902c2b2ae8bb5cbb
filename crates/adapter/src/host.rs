//! Hosts the balancers of many simulated sidecars in one process.
//!
//! Owns the attached instances and the endpoint tables that they share. The fields of events and
//! actions are known by the decoder and the encoder, the decisions by the balancers.

mod action_encoder;
mod endpoint_table;
mod event_decoder;
mod instance;
mod settings;

use std::collections::HashMap;

use arrowstand_balancer::{Action, Micros};
use arrowstand_platform::micros_from_ms;

use crate::error::HostError;
use crate::reply::Reply;
use crate::wire::{Batch, EventMessage};
use endpoint_table::EndpointTables;
use instance::Instance;

/// Everything that one process hosts.
#[derive(Default)]
pub(crate) struct Host {
    instances: HashMap<String, Instance>,
    tables: EndpointTables,
    /// Actions of one event; kept for its buffer.
    actions: Vec<Action>,
}

impl Host {
    /// Passes each event of a batch to its instance and writes the actions into the reply.
    ///
    /// # Errors
    /// Stops at the first event that cannot be handled.
    pub(crate) fn run(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), HostError> {
        let now = micros_from_ms(batch.clock_ms);
        for event in &batch.events {
            if event.kind == "roster" {
                self.tables.on_table(event)?;
                continue;
            }
            let name = event.required(event.instance, "i")?;
            match event.kind {
                "attach" => {
                    let instance = Instance::attach(event)?;
                    self.instances.insert(name.to_owned(), instance);
                }
                "exit" => {
                    self.instances.remove(name);
                }
                _ => self.handle_event(now, name, event, reply)?,
            }
        }
        Ok(())
    }

    fn handle_event(
        &mut self,
        now: Micros,
        name: &str,
        event: &EventMessage,
        reply: &mut Reply,
    ) -> Result<(), HostError> {
        let instance = self
            .instances
            .get_mut(name)
            .ok_or_else(|| HostError::UnknownInstance(name.to_owned()))?;
        let names = &mut instance.names;
        let event = event_decoder::decode(event, names, &self.tables)?;
        self.actions.clear();
        instance.balancer.handle(now, event, &mut self.actions);
        for action in &self.actions {
            action_encoder::encode(action, name, names, reply);
        }
        Ok(())
    }
}
