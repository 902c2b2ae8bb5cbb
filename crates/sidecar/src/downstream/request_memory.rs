//! Reserves the memory of requests from the budget of the process.

use std::cell::RefCell;
use std::rc::Rc;

use arrowstand_control::memory_budget::{MemoryBudget, MemoryPurpose};

use crate::limits::MemoryLimits;

/// The budget of all requests; shared by all connections.
pub(super) struct RequestMemory {
    budget: RefCell<MemoryBudget>,
    limits: MemoryLimits,
}

/// The budget has no room for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OverMemory;

impl RequestMemory {
    /// Creates a budget of which nothing is reserved.
    pub(super) fn new(limits: MemoryLimits) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(MemoryBudget::new(limits.shares)),
            limits,
        })
    }

    /// Reserves memory for the buffer of a head that is longer than a small body.
    ///
    /// # Errors
    /// The budget has no room for it.
    pub(super) fn reserve_large_head(self: &Rc<Self>) -> Result<MemoryReservation, OverMemory> {
        self.reserve_body(self.limits.large_head_bytes)
    }

    /// True if a head of this length needs a reservation.
    pub(super) fn is_large_head(&self, head_bytes: usize) -> bool {
        head_bytes > self.limits.small_body_bytes
    }

    /// Reserves memory for a body of at most `body_bytes` that is about to be read.
    ///
    /// # Errors
    /// The budget has no room for it.
    pub(super) fn reserve_body(
        self: &Rc<Self>,
        body_bytes: usize,
    ) -> Result<MemoryReservation, OverMemory> {
        let bytes = if body_bytes > self.limits.small_body_bytes {
            body_bytes
        } else {
            0
        };
        let purpose = MemoryPurpose::IncompleteRequest;
        if !self.budget.borrow_mut().try_reserve(purpose, bytes) {
            return Err(OverMemory);
        }
        Ok(MemoryReservation {
            memory: Rc::clone(self),
            purpose,
            bytes,
        })
    }
}

/// Memory that a request holds; released when dropped.
pub(super) struct MemoryReservation {
    memory: Rc<RequestMemory>,
    purpose: MemoryPurpose,
    bytes: usize,
}

impl MemoryReservation {
    /// Exchanges the reservation of a body that has arrived for one of the whole exchange, with
    /// attempts and response.
    ///
    /// # Errors
    /// The budget has no room for it.
    pub(super) fn complete(mut self, body_bytes: usize) -> Result<Self, OverMemory> {
        let bytes = body_bytes + self.memory.limits.in_flight_bytes;
        let is_reserved = self
            .memory
            .budget
            .borrow_mut()
            .try_complete(self.bytes, bytes);
        if !is_reserved {
            return Err(OverMemory);
        }
        self.purpose = MemoryPurpose::InFlightRequest;
        self.bytes = bytes;
        Ok(self)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let mut budget = self.memory.budget.borrow_mut();
        budget.release(self.purpose, self.bytes);
    }
}
