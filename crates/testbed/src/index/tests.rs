//! Display, parsing and serialization of indexes and numbers.

use super::{ArrivalNumber, ClassIndex, RequestNumber, ServerIndex, SidecarIndex, TenantIndex};

#[test]
fn server_names_round_trip() {
    let server = ServerIndex::new(12);
    assert_eq!(server.to_string(), "s12");
    assert_eq!(ServerIndex::from_name("s12"), Some(server));
    for name in ["12", "n12", "s", "s-1", "s1x", "s4294967296"] {
        assert_eq!(ServerIndex::from_name(name), None, "{name}");
    }
    assert_eq!(SidecarIndex::new(3).to_string(), "n3");
}

#[test]
fn request_numbers_round_trip_through_the_request_id_header() {
    let request = RequestNumber::new(0xab);
    assert_eq!(request.to_string(), "00000000000000ab");
    assert_eq!(
        RequestNumber::from_request_id("00000000000000ab"),
        Some(request)
    );
    assert_eq!(RequestNumber::from_request_id("job"), None);
}

#[test]
fn position_beyond_the_integer_range_gives_the_largest_index() {
    assert_eq!(ClassIndex::from_position(7).index(), 7);
    assert_eq!(ClassIndex::from_position(1 << 16).value(), u16::MAX);
    let all: Vec<_> = TenantIndex::all(3).map(TenantIndex::index).collect();
    assert_eq!(all, [0, 1, 2]);
}

#[test]
fn all_types_serialize_as_plain_integers() {
    let stored = serde_json::json!([
        ServerIndex::new(1),
        SidecarIndex::new(2),
        ClassIndex::new(3),
        TenantIndex::new(4),
        RequestNumber::new(5),
        ArrivalNumber::new(6),
    ]);
    assert_eq!(stored.to_string(), "[1,2,3,4,5,6]");
    let read: ServerIndex = serde_json::from_str("1").expect("an integer");
    assert_eq!(read, ServerIndex::new(1));
}
