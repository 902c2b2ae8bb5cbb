//! Suspicions that are still to be disseminated, and how often each.

#[cfg(test)]
mod tests;

use crate::state::gossip_message::GossipMessage;

/// A record with the number of datagrams it still goes out in.
struct QueuedRecord {
    bytes: Vec<u8>,
    remaining_datagrams: u32,
}

/// The queue; records take turns.
#[derive(Default)]
pub(crate) struct GossipQueue {
    records: Vec<QueuedRecord>,
}

impl GossipQueue {
    /// Queues a message for a number of datagrams.
    pub(crate) fn push(&mut self, message: &GossipMessage, datagrams: u32) {
        self.records.push(QueuedRecord {
            bytes: message.encode(),
            remaining_datagrams: datagrams,
        });
    }

    /// True where nothing is to be sent.
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The next datagram, of at most so many records.
    pub(crate) fn next_datagram(&mut self, max_records: usize) -> Vec<u8> {
        let taken = self.records.len().min(max_records);
        let datagram = self.records[..taken]
            .iter()
            .flat_map(|record| record.bytes.iter().copied())
            .collect();
        self.records[..taken]
            .iter_mut()
            .for_each(|record| record.remaining_datagrams -= 1);
        self.records.rotate_left(taken);
        self.records.retain(|record| record.remaining_datagrams > 0);
        datagram
    }
}
