use super::GossipQueue;
use crate::state::gossip_message::{GossipKind, GossipMessage};

fn message(stable_hash: u64) -> GossipMessage {
    GossipMessage {
        kind: GossipKind::Suspected,
        stable_hash,
        incarnation: 0,
    }
}

fn next_hashes(queue: &mut GossipQueue, max_records: usize) -> Vec<u64> {
    GossipMessage::decode(&queue.next_datagram(max_records))
        .map(|message| message.stable_hash)
        .collect()
}

#[test]
fn records_are_sent_round_robin_and_leave_after_their_last_datagram() {
    let mut queue = GossipQueue::default();
    (1..=3).for_each(|hash| queue.push(&message(hash), 2));
    assert_eq!(next_hashes(&mut queue, 2), [1, 2]);
    assert_eq!(next_hashes(&mut queue, 2), [3, 1]);
    assert_eq!(next_hashes(&mut queue, 2), [2, 3]);
    assert!(queue.is_empty());
}
