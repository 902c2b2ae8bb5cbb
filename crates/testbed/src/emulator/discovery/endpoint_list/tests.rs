//! Each change raises the revision, and no change of an earlier incarnation is listed.

use super::EndpointList;
use crate::event_log::ListedStatus;
use crate::index::ServerIndex;
use crate::scenario::Micros;

fn listed(list: &EndpointList, since: Option<u64>) -> Vec<(u32, ListedStatus, Micros)> {
    list.changed_since(since)
        .map(|(server, entry)| (server.value(), entry.status, entry.started_at))
        .collect()
}

#[test]
fn deltas_list_changes_since_a_revision_and_full_lists_omit_gone_servers() {
    let mut list = EndpointList::new_ready([0, 1].into_iter());
    assert_eq!(list.revision(), 1);
    assert!(list.set_status(ServerIndex::new(0), 0, ListedStatus::Gone, 0));
    assert!(list.set_status(ServerIndex::new(2), 0, ListedStatus::Ready, 5));
    assert_eq!(list.revision(), 3);
    let ready = |server, started_at| (server, ListedStatus::Ready, started_at);
    assert_eq!(listed(&list, None), [ready(1, 1), ready(2, 5)]);
    let gone = (0, ListedStatus::Gone, 0);
    assert_eq!(listed(&list, Some(1)), [gone, ready(2, 5)]);
    assert_eq!(listed(&list, Some(2)), [ready(2, 5)]);
    assert_eq!(listed(&list, Some(3)), []);
}

#[test]
fn changes_of_an_earlier_incarnation_are_not_listed() {
    let mut list = EndpointList::new_ready([7].into_iter());
    assert!(!list.set_status(ServerIndex::new(0), 0, ListedStatus::Gone, 6));
    assert_eq!(list.revision(), 1);
    assert!(list.set_status(ServerIndex::new(0), 0, ListedStatus::Gone, 7));
    assert_eq!(list.revision(), 2);
}
