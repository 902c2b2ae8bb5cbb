//! Queue of suspicions to be sent to other balancers.

#[cfg(test)]
mod tests;

use crate::state::gossip_record::GossipRecord;

/// A record and the number of datagrams in which it is still to be sent.
struct QueuedRecord {
    bytes: Vec<u8>,
    remaining_datagrams: u32,
}

/// Queue of records that are sent round-robin.
#[derive(Default)]
pub(crate) struct GossipQueue {
    records: Vec<QueuedRecord>,
}

impl GossipQueue {
    /// Queues a record to be sent in a number of datagrams.
    pub(crate) fn push(&mut self, record: &GossipRecord, datagrams: u32) {
        self.records.push(QueuedRecord {
            bytes: record.encode(),
            remaining_datagrams: datagrams,
        });
    }

    /// Returns true if there is nothing to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the next datagram, with at most `max_records` records.
    pub(crate) fn next_datagram(&mut self, max_records: usize) -> Vec<u8> {
        let record_count = self.records.len().min(max_records);
        let datagram = self.records[..record_count]
            .iter()
            .flat_map(|record| record.bytes.iter().copied())
            .collect();
        self.records[..record_count]
            .iter_mut()
            .for_each(|record| record.remaining_datagrams -= 1);
        self.records.rotate_left(record_count);
        self.records.retain(|record| record.remaining_datagrams > 0);
        datagram
    }
}
