use super::GossipQueue;
use crate::state::gossip_record::{GossipKind, GossipRecord};

fn record(stable_hash: u64) -> GossipRecord {
    GossipRecord {
        kind: GossipKind::Suspected,
        stable_hash,
        incarnation: 0,
    }
}

fn next_hashes(queue: &mut GossipQueue, max_records: usize) -> Vec<u64> {
    GossipRecord::decode(&queue.next_datagram(max_records))
        .map(|record| record.stable_hash)
        .collect()
}

#[test]
fn records_are_sent_round_robin_and_leave_after_their_last_datagram() {
    let mut queue = GossipQueue::default();
    (1..=3).for_each(|hash| queue.push(&record(hash), 2));
    assert_eq!(next_hashes(&mut queue, 2), [1, 2]);
    assert_eq!(next_hashes(&mut queue, 2), [3, 1]);
    assert_eq!(next_hashes(&mut queue, 2), [2, 3]);
    assert!(queue.is_empty());
}
