//! Merges consecutive deltas that have arrived together into one update.
//!
//! Each update costs work for all known servers, however few of them it lists. A discovery that
//! sends a delta for each server of a release would otherwise occupy the thread with that work; so
//! the more deltas wait, the more of them share it.

use std::collections::HashSet;

use arrowstand_platform::{EndpointList, ListKind};

/// Most entries of a batch. More would delay the drains at its start.
const MAX_ENTRIES: usize = 64;

/// Consecutive deltas that have not been applied yet, merged in the order of their arrival.
#[derive(Default)]
pub(super) struct DeltaBatch {
    merged: Option<EndpointList>,
    listed_ids: HashSet<String>,
    delta_count: usize,
}

impl DeltaBatch {
    /// Adds a delta.
    ///
    /// # Errors
    /// Returns a list that must be applied after the batch, as an update of its own or as the first
    /// of another batch: it is a full list, has a lower revision, does not fit, or lists a server
    /// that the batch lists. A server that was removed and is listed again must not keep its state.
    pub(super) fn try_add(&mut self, delta: EndpointList) -> Result<(), EndpointList> {
        if !self.accepts(&delta) {
            return Err(delta);
        }
        let ids = delta.endpoints.iter().map(|entry| entry.id.clone());
        self.listed_ids.extend(ids);
        self.delta_count += 1;
        match &mut self.merged {
            Some(merged) => merged.append(delta),
            None => self.merged = Some(delta),
        }
        Ok(())
    }

    /// Number of deltas in the batch.
    pub(super) fn delta_count(&self) -> usize {
        self.delta_count
    }

    /// Empties the batch and returns the merged delta; `None` if the batch is empty.
    pub(super) fn take(&mut self) -> Option<EndpointList> {
        std::mem::take(self).merged
    }

    fn accepts(&self, delta: &EndpointList) -> bool {
        let Some(merged) = &self.merged else {
            return delta.kind == ListKind::Delta;
        };
        let is_listed = |id: &String| self.listed_ids.contains(id);
        delta.kind == ListKind::Delta
            && delta.revision >= merged.revision
            && merged.endpoints.len() + delta.endpoints.len() <= MAX_ENTRIES
            && !delta.endpoints.iter().any(|entry| is_listed(&entry.id))
    }
}

#[cfg(test)]
mod tests;
