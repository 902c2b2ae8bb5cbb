use super::{GossipKind, GossipRecord, RECORD_LEN};

fn suspected(stable_hash: u64) -> GossipRecord {
    GossipRecord {
        kind: GossipKind::Suspected,
        stable_hash,
        incarnation: 0x0102,
    }
}

#[test]
fn record_encodes_as_kind_hash_and_incarnation_in_big_endian() {
    let bytes = suspected(0xa1b2).encode();
    assert_eq!(
        bytes,
        [2, 0, 0, 0, 0, 0, 0, 0xa1, 0xb2, 0, 0, 0, 0, 0, 0, 1, 2]
    );
}

#[test]
fn every_kind_decodes_to_what_was_encoded() {
    for kind in [
        GossipKind::IndirectCheckRequest,
        GossipKind::ConfirmedAlive,
        GossipKind::Suspected,
    ] {
        let record = GossipRecord {
            kind,
            stable_hash: u64::MAX,
            incarnation: 7,
        };
        assert!(GossipRecord::decode(&record.encode()).eq([record]));
    }
}

#[test]
fn unknown_kinds_and_incomplete_records_are_skipped() {
    let mut datagram = suspected(1).encode();
    datagram.extend([9; RECORD_LEN]);
    datagram.extend(suspected(2).encode());
    datagram.extend([2; RECORD_LEN - 1]);
    assert!(GossipRecord::decode(&datagram).eq([suspected(1), suspected(2)]));
}
