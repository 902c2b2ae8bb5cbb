use super::*;

fn delta(revision: u64, servers: std::ops::Range<usize>) -> EndpointList {
    let entry = |n: usize| format!(r#"{{"uid":"s{n}","endpoint":"127.0.0.1:9","state":"ready"}}"#);
    let entries: Vec<String> = servers.map(entry).collect();
    let text = format!(r#"{{"rev":{revision},"targets":[{}]}}"#, entries.join(","));
    EndpointList::parse(&text, 8).expect("a list")
}

#[test]
fn deltas_are_merged_in_order_with_the_last_revision() {
    let mut batch = DeltaBatch::default();
    for list in [delta(3, 0..2), delta(4, 5..6), delta(4, 2..3)] {
        batch.try_add(list).expect("fits");
    }
    assert_eq!(batch.delta_count(), 3);
    let merged = batch.take().expect("not empty");
    let ids: Vec<&str> = merged.endpoints.iter().map(|entry| &*entry.id).collect();
    assert_eq!(merged.revision, 4);
    assert_eq!(ids, ["s0", "s1", "s5", "s2"]);
    assert_eq!((batch.delta_count(), batch.take()), (0, None));
}

/// Guards against merging what has another effect than the lists one after the other.
#[test]
fn list_that_must_be_applied_by_itself_is_returned() {
    let full = EndpointList {
        kind: ListKind::Full,
        ..delta(9, 0..1)
    };
    let lower_revision = delta(4, 7..8);
    let same_server = delta(6, 1..3);
    let too_many = delta(6, 10..10 + MAX_ENTRIES);
    for list in [full, lower_revision, same_server, too_many] {
        let mut batch = DeltaBatch::default();
        batch.try_add(delta(5, 0..2)).expect("fits");
        assert_eq!(batch.try_add(list.clone()), Err(list));
    }
}

/// A delta that is larger than a batch forms one by itself.
#[test]
fn delta_of_any_size_fits_into_an_empty_batch() {
    let mut batch = DeltaBatch::default();
    assert_eq!(batch.try_add(delta(5, 0..2 * MAX_ENTRIES)), Ok(()));
}
