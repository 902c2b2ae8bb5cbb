use super::*;

#[test]
fn an_id_cannot_be_reserved_again_until_its_guard_is_dropped() {
    let active = Rc::new(ActiveRequestIds::default());
    let guard = active.reserve("a");
    assert!(guard.is_some());
    assert!(active.reserve("a").is_none(), "in use");
    assert!(active.reserve("b").is_some(), "another id");
    drop(guard);
    assert!(active.reserve("a").is_some(), "released");
}
