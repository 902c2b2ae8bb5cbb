//! What the listener and its connections may know of the rest of the sidecar: whether it can serve
//! yet, which classes of requests there are, its bounds and its counters.

use std::rc::Rc;

use crate::counters::Counters;
use crate::host::{BalancerHost, ClassTable};
use crate::limits::Limits;

/// What a client's request is checked against, and where it is counted.
pub(crate) struct ServiceContext {
    host: Rc<BalancerHost>,
    classes: Rc<ClassTable>,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
}

impl ServiceContext {
    /// A context of that host's service.
    pub(crate) fn new(
        host: Rc<BalancerHost>,
        classes: Rc<ClassTable>,
        limits: Rc<Limits>,
        counters: Rc<Counters>,
    ) -> Self {
        Self {
            host,
            classes,
            limits,
            counters,
        }
    }

    /// True once requests can be served: a list has named a server that is ready.
    pub(super) fn is_ready(&self) -> bool {
        self.host.is_ready()
    }

    /// The request classes of the configuration.
    pub(super) fn classes(&self) -> &ClassTable {
        &self.classes
    }

    /// Every bound of the network code.
    pub(super) fn limits(&self) -> &Rc<Limits> {
        &self.limits
    }

    /// What the process counts.
    pub(super) fn counters(&self) -> &Counters {
        &self.counters
    }
}
