use super::*;

#[test]
fn an_id_in_use_is_not_given_again_until_its_guard_is_dropped() {
    let open = Rc::new(OpenRequestIds::default());
    let guard = open.reserve("a");
    assert!(guard.is_some());
    assert!(open.reserve("a").is_none(), "in use");
    assert!(open.reserve("b").is_some(), "another id");
    drop(guard);
    assert!(open.reserve("a").is_some(), "free again");
}
