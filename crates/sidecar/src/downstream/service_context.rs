//! The state of the sidecar that the listener and its connections may access: readiness, request
//! classes, limits and counters.

use std::rc::Rc;

use super::request_memory::RequestMemory;
use crate::counters::Counters;
use crate::host::{BalancerHost, ClassTable};
use crate::limits::Limits;

/// The shared state by which client requests are validated and counted.
pub(crate) struct ServiceContext {
    host: Rc<BalancerHost>,
    classes: Rc<ClassTable>,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
    memory: Rc<RequestMemory>,
}

impl ServiceContext {
    pub(crate) fn new(
        host: Rc<BalancerHost>,
        classes: Rc<ClassTable>,
        limits: Rc<Limits>,
        counters: Rc<Counters>,
    ) -> Self {
        Self {
            memory: RequestMemory::new(limits.memory),
            host,
            classes,
            limits,
            counters,
        }
    }

    /// True once requests can be served: an endpoint list has contained a ready server.
    pub(super) fn is_ready(&self) -> bool {
        self.host.is_ready()
    }

    /// The request classes of the configuration.
    pub(super) fn classes(&self) -> &ClassTable {
        &self.classes
    }

    /// The limits of the network code.
    pub(super) fn limits(&self) -> &Rc<Limits> {
        &self.limits
    }

    /// The memory of all requests.
    pub(super) fn memory(&self) -> &Rc<RequestMemory> {
        &self.memory
    }

    /// The counters of the process.
    pub(super) fn counters(&self) -> &Counters {
        &self.counters
    }
}
