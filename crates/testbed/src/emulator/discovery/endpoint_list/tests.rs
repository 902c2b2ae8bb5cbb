//! Versions rise with each change, and a later start is never listed as an earlier one.

use super::EndpointList;
use crate::event_log::ListedStatus;
use crate::index::ServerIndex;
use crate::scenario::Micros;

fn listed(list: &EndpointList, since: Option<u64>) -> Vec<(u32, ListedStatus, Micros)> {
    list.since(since)
        .map(|(server, entry)| (server.value(), entry.status, entry.started_at))
        .collect()
}

#[test]
fn changes_are_listed_since_a_version_and_a_whole_list_leaves_out_what_is_gone() {
    let mut list = EndpointList::of_ready([0, 1].into_iter());
    assert_eq!(list.version(), 1);
    assert!(list.set(ServerIndex::new(0), 0, ListedStatus::Gone, 0));
    assert!(list.set(ServerIndex::new(2), 0, ListedStatus::Ready, 5));
    assert_eq!(list.version(), 3);
    let ready = |server, started_at| (server, ListedStatus::Ready, started_at);
    assert_eq!(listed(&list, None), [ready(1, 1), ready(2, 5)]);
    let gone = (0, ListedStatus::Gone, 0);
    assert_eq!(listed(&list, Some(1)), [gone, ready(2, 5)]);
    assert_eq!(listed(&list, Some(2)), [ready(2, 5)]);
    assert_eq!(listed(&list, Some(3)), []);
}

#[test]
fn a_change_of_an_earlier_start_is_not_listed() {
    let mut list = EndpointList::of_ready([7].into_iter());
    assert!(!list.set(ServerIndex::new(0), 0, ListedStatus::Gone, 6));
    assert_eq!(list.version(), 1);
    assert!(list.set(ServerIndex::new(0), 0, ListedStatus::Gone, 7));
    assert_eq!(list.version(), 2);
}
