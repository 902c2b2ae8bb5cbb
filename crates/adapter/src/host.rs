//! Hosts the balancers of many simulated sidecars in one process.
//!
//! The host keeps the attached instances and the endpoint tables that they share. The decoder and
//! the encoder handle the fields of events and actions.

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

/// The instances and endpoint tables of this process.
#[derive(Default)]
pub(crate) struct Host {
    instances: HashMap<String, Instance>,
    tables: EndpointTables,
    /// Actions of the current event; a field so that its allocation is reused.
    actions: Vec<Action>,
}

impl Host {
    /// Passes each event of a batch to its instance and appends the actions to the reply.
    ///
    /// # Errors
    /// Returns the error of the first event that cannot be handled; later events are not handled.
    pub(crate) fn handle_batch(
        &mut self,
        batch: &Batch,
        reply: &mut Reply,
    ) -> Result<(), HostError> {
        let now = micros_from_ms(batch.clock_ms);
        for event in &batch.events {
            if event.kind == "roster" {
                self.tables.insert(event)?;
                continue;
            }
            let instance_name = event.required(event.instance, "i")?;
            match event.kind {
                "attach" => {
                    let instance = Instance::attach(event)?;
                    self.instances.insert(instance_name.to_owned(), instance);
                }
                "exit" => {
                    self.instances.remove(instance_name);
                }
                _ => self.handle_event(now, instance_name, event, reply)?,
            }
        }
        Ok(())
    }

    fn handle_event(
        &mut self,
        now: Micros,
        instance_name: &str,
        event: &EventMessage,
        reply: &mut Reply,
    ) -> Result<(), HostError> {
        let instance = self
            .instances
            .get_mut(instance_name)
            .ok_or_else(|| HostError::UnknownInstance(instance_name.to_owned()))?;
        let names = &mut instance.names;
        let event = event_decoder::decode(event, names, &self.tables)?;
        self.actions.clear();
        instance.balancer.handle(now, event, &mut self.actions);
        for action in &self.actions {
            action_encoder::encode(action, instance_name, names, reply);
        }
        Ok(())
    }
}
