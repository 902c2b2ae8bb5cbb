use super::*;

const SECOND: Duration = Duration::from_secs(1);
const UNKNOWN: ClassId = ClassId(9);

fn table() -> ClassTable {
    ClassTable::new(&DeploymentMetadata {
        class_names: vec!["query".to_owned(), "payment".to_owned()],
        requires_idempotency_key: vec![false, true],
        deadlines: vec![SECOND, 2 * SECOND],
        deduplication_windows: vec![3 * SECOND, 4 * SECOND],
        ..DeploymentMetadata::default()
    })
}

#[test]
fn a_class_is_found_by_its_name() {
    assert_eq!(table().id("payment"), Some(ClassId(1)));
    assert_eq!(table().id("refund"), None);
}

#[test]
fn only_a_class_with_keys_has_a_deduplication_window() {
    const QUERY: ClassId = ClassId(0);
    const PAYMENT: ClassId = ClassId(1);
    let table = table();
    assert!(!table.requires_idempotency_key(QUERY));
    assert_eq!(table.deduplication_window(QUERY), None);
    assert!(table.requires_idempotency_key(PAYMENT));
    assert_eq!(table.deduplication_window(PAYMENT), Some(4 * SECOND));
}

#[test]
fn an_unknown_class_has_no_key_no_window_and_a_zero_timeout() {
    assert_eq!(table().default_client_timeout(ClassId(1)), 2 * SECOND);
    assert_eq!(table().default_client_timeout(UNKNOWN), Duration::ZERO);
    assert_eq!(table().deduplication_window(UNKNOWN), None);
    assert!(!table().requires_idempotency_key(UNKNOWN));
}
