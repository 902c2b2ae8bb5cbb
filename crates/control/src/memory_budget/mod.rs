//! Memory by purpose: how much of the process's limit requests may hold, and which of them get it.
//!
//! A request's memory is reserved before it is used and released when the request ends. Incomplete
//! requests, whose clients may stop at any byte, get part of the budget at most; the rest is left to
//! complete requests and their responses. The budget is exact in what it is told: callers reserve
//! upper bounds.

#[cfg(test)]
mod tests;

/// How the memory limit of a process is divided. What is left is for the program itself, the
/// endpoint list and what the allocator keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShares {
    /// Bytes for open client connections, without the bodies of their requests.
    pub connections: usize,
    /// Bytes for requests and their responses.
    pub requests: usize,
    /// The part of `requests` that incomplete requests may hold.
    pub incomplete_requests: usize,
}

impl MemoryShares {
    /// Divides a limit in bytes: three sixteenths for connections, three sixteenths for requests, and
    /// half of that at most for incomplete ones.
    pub fn of(limit_bytes: usize) -> Self {
        let requests = limit_bytes / 16 * 3;
        Self {
            connections: requests,
            requests,
            incomplete_requests: requests / 2,
        }
    }

    /// Raises the shares of requests so that `bytes` fit into each.
    #[must_use]
    pub fn with_room_for(self, bytes: usize) -> Self {
        Self {
            requests: self.requests.max(2 * bytes),
            incomplete_requests: self.incomplete_requests.max(bytes),
            ..self
        }
    }
}

/// What reserved memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryPurpose {
    /// A request that has not arrived completely.
    IncompleteRequest,
    /// A complete request, its attempts and its response.
    InFlightRequest,
}

/// The memory that requests hold, by purpose.
#[derive(Clone, Copy, Debug)]
pub struct MemoryBudget {
    shares: MemoryShares,
    incomplete: usize,
    in_flight: usize,
}

impl MemoryBudget {
    /// A budget of which nothing is reserved.
    pub fn new(shares: MemoryShares) -> Self {
        Self {
            shares,
            incomplete: 0,
            in_flight: 0,
        }
    }

    /// Bytes that are reserved for a purpose.
    pub fn reserved(&self, purpose: MemoryPurpose) -> usize {
        match purpose {
            MemoryPurpose::IncompleteRequest => self.incomplete,
            MemoryPurpose::InFlightRequest => self.in_flight,
        }
    }

    /// Reserves memory; returns false and changes nothing if the budget has no room for it.
    #[must_use]
    pub fn try_reserve(&mut self, purpose: MemoryPurpose, bytes: usize) -> bool {
        let total = self
            .incomplete
            .saturating_add(self.in_flight)
            .saturating_add(bytes);
        let is_incomplete = purpose == MemoryPurpose::IncompleteRequest;
        let exceeds_share = is_incomplete
            && self.incomplete.saturating_add(bytes) > self.shares.incomplete_requests;
        if total > self.shares.requests || exceeds_share {
            return false;
        }
        *self.reserved_mut(purpose) += bytes;
        true
    }

    /// Releases memory that was reserved for this purpose.
    pub fn release(&mut self, purpose: MemoryPurpose, bytes: usize) {
        let reserved = self.reserved_mut(purpose);
        *reserved = reserved.saturating_sub(bytes);
    }

    /// Exchanges the reservation of a request that has become complete for one of `in_flight_bytes`;
    /// returns false and changes nothing if the budget has no room for it.
    #[must_use]
    pub fn try_complete(&mut self, incomplete_bytes: usize, in_flight_bytes: usize) -> bool {
        self.release(MemoryPurpose::IncompleteRequest, incomplete_bytes);
        let is_reserved = self.try_reserve(MemoryPurpose::InFlightRequest, in_flight_bytes);
        if !is_reserved {
            self.incomplete += incomplete_bytes;
        }
        is_reserved
    }

    fn reserved_mut(&mut self, purpose: MemoryPurpose) -> &mut usize {
        match purpose {
            MemoryPurpose::IncompleteRequest => &mut self.incomplete,
            MemoryPurpose::InFlightRequest => &mut self.in_flight,
        }
    }
}
