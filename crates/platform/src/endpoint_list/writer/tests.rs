//! Reading a written list returns the same list, and its text has the documented wire format.

use std::net::{IpAddr, SocketAddr};

use arrowstand_balancer::{EndpointStatus, Micros};
use proptest::prelude::*;

use super::super::{EndpointList, ListKind, ListedEndpoint, SkippedEntries};

/// Revisions up to this one are exact as floating-point numbers.
const MAX_EXACT_REVISION: u64 = 1 << 53;
/// Start times before this one, in the year 2109, are exact to the microsecond as floating-point
/// milliseconds: adjacent values are less than a microsecond apart.
const EXACT_START_TIMES_END: Micros = 1_000 << 42;
/// The nesting depth of a list's JSON: the list, its array and an entry.
const MAX_DEPTH: usize = 3;

fn endpoint() -> ListedEndpoint {
    ListedEndpoint {
        id: "s-5be2a07c".to_owned(),
        address: "10.1.0.18:8443".parse().expect("an address"),
        zone: "a".to_owned(),
        cell: 3,
        machine_type: "m2".to_owned(),
        status: EndpointStatus::Ready,
        started_at: None,
    }
}

fn to_text(list: &EndpointList) -> String {
    list.to_json().to_string()
}

#[test]
fn list_is_written_in_the_documented_form_with_sorted_keys() {
    let list = EndpointList {
        revision: 41,
        kind: ListKind::Full,
        endpoints: vec![endpoint()],
        skipped: SkippedEntries::default(),
    };

    let text = to_text(&list);

    let expected = concat!(
        r#"{"all":true,"rev":41,"targets":[{"az":"a","boot_ms":0.0,"capacity_hint":1.0,"#,
        r#""endpoint":"10.1.0.18:8443","model":"m2","pod_group":3,"state":"ready","#,
        r#""uid":"s-5be2a07c"}]}"#
    );
    assert_eq!(text, expected);
}

#[test]
fn start_time_whose_milliseconds_round_down_is_read_as_the_same_microsecond() {
    // The reader computes 1.001 * 1000 as 1000.9999999999999.
    let started = ListedEndpoint {
        started_at: Some(1_001),
        ..endpoint()
    };
    let list = EndpointList {
        endpoints: vec![started],
        ..EndpointList::default()
    };

    let read = EndpointList::parse(&to_text(&list), MAX_DEPTH).expect("a list");

    assert_eq!(read, list);
}

fn any_status() -> impl Strategy<Value = EndpointStatus> {
    prop_oneof![
        Just(EndpointStatus::Ready),
        Just(EndpointStatus::Draining),
        Just(EndpointStatus::Removed),
    ]
}

/// Known start times are greater than 0.
fn any_start_time() -> impl Strategy<Value = Option<Micros>> {
    prop::option::of(prop_oneof![
        1..1_000_000_u64,
        1_700_000_000_000_000..1_800_000_000_000_000_u64,
        1..EXACT_START_TIMES_END,
    ])
}

/// IPv6 addresses are generated without flow label and scope: a flow label has no text form.
fn any_address() -> impl Strategy<Value = SocketAddr> {
    (any::<IpAddr>(), any::<u16>()).prop_map(SocketAddr::from)
}

prop_compose! {
    fn any_endpoint()(
        id in any::<String>(),
        address in any_address(),
        zone in any::<String>(),
        cell in any::<u32>(),
        machine_type in any::<String>(),
        status in any_status(),
        started_at in any_start_time(),
    ) -> ListedEndpoint {
        ListedEndpoint { id, address, zone, cell, machine_type, status, started_at }
    }
}

fn any_kind() -> impl Strategy<Value = ListKind> {
    prop_oneof![Just(ListKind::Full), Just(ListKind::Delta)]
}

prop_compose! {
    fn any_list()(
        revision in 0..=MAX_EXACT_REVISION,
        kind in any_kind(),
        endpoints in prop::collection::vec(any_endpoint(), 0..6),
    ) -> EndpointList {
        EndpointList { revision, kind, endpoints, skipped: SkippedEntries::default() }
    }
}

proptest! {
    #[test]
    fn reading_a_written_list_gives_the_same_list(list in any_list()) {
        let read = EndpointList::parse(&to_text(&list), MAX_DEPTH).expect("a list");

        prop_assert_eq!(read, list);
    }
}
