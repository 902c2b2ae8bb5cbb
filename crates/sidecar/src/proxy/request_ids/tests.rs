use super::*;

const RETENTION: Duration = Duration::from_secs(60);

/// A request with this id is sent and ends, as when its client disconnects.
fn send(ids: &Rc<RequestIds>, id: &str, repeatability: Repeatability) {
    let guard = ids.reserve(id, repeatability).expect("the id is free");
    guard.on_attempt_started();
}

#[test]
fn an_id_cannot_be_reserved_again_until_its_guard_is_dropped() {
    let ids = RequestIds::new(RETENTION);
    let guard = ids.reserve("a", Repeatability::Repeatable);
    assert!(guard.is_some());
    let again = |id| ids.reserve(id, Repeatability::Repeatable);
    assert!(again("a").is_none(), "in use");
    assert!(again("b").is_some(), "another id");
    drop(guard);
    assert!(again("a").is_some(), "released");
}

/// Guards against an id that runs twice when it comes again after its client has left.
#[test]
fn id_of_a_request_that_may_have_run_is_refused_to_one_that_must_not_run_again() {
    let ids = RequestIds::new(RETENTION);
    send(&ids, "a", Repeatability::Once);
    assert!(ids.reserve("a", Repeatability::Once).is_none());
    assert!(ids.reserve("a", Repeatability::Repeatable).is_some());
    assert!(ids.reserve("b", Repeatability::Once).is_some());
}

#[test]
fn id_is_free_again_if_nothing_was_sent_or_the_client_got_a_response() {
    let ids = RequestIds::new(RETENTION);
    drop(ids.reserve("a", Repeatability::Once));
    let guard = ids.reserve("a", Repeatability::Once).expect("not sent");
    guard.on_attempt_started();
    guard.on_responded();
    drop(guard);
    assert!(ids.reserve("a", Repeatability::Once).is_some(), "responded");
}

#[test]
fn id_is_free_again_after_the_retention() {
    let ids = RequestIds::new(Duration::ZERO);
    send(&ids, "a", Repeatability::Once);
    assert!(ids.reserve("a", Repeatability::Once).is_some());
}

#[test]
fn ever_new_ids_do_not_grow_the_set_beyond_its_limit() {
    let ids = RequestIds::new(RETENTION);
    for number in 0..MAX_ENDED_IDS + 10 {
        send(&ids, &number.to_string(), Repeatability::Once);
    }
    let state = ids.state.borrow();
    assert_eq!(state.ended.len(), MAX_ENDED_IDS);
    assert_eq!(state.expiries.len(), MAX_ENDED_IDS);
    assert!(!state.ended.contains("9"), "the oldest are displaced");
}
