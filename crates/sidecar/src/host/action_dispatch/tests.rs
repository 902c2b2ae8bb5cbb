use super::*;

const MAX_QUEUED: usize = 1;

#[test]
fn an_action_is_queued_only_for_its_request() {
    let (dispatcher, _servers) = ActionDispatcher::new(MAX_QUEUED);
    let (first, mut first_actions) = dispatcher.register_request(MAX_QUEUED);
    let (second, mut second_actions) = dispatcher.register_request(MAX_QUEUED);
    assert_ne!(first, second);
    dispatcher.dispatch_to_request(second, RequestAction::Fail);
    assert!(first_actions.try_recv().is_err());
    assert_eq!(second_actions.try_recv(), Ok(RequestAction::Fail));
}

#[test]
fn an_action_for_a_request_that_has_ended_is_dropped() {
    let (dispatcher, _servers) = ActionDispatcher::new(MAX_QUEUED);
    let (id, mut actions) = dispatcher.register_request(MAX_QUEUED);
    dispatcher.unregister_request(id);
    dispatcher.dispatch_to_request(id, RequestAction::Fail);
    assert!(actions.try_recv().is_err());
}

#[test]
fn a_health_check_is_refused_while_the_queue_is_full() {
    let (dispatcher, mut servers) = ActionDispatcher::new(MAX_QUEUED);
    assert!(dispatcher.enqueue_health_check(ServerId(1)));
    assert!(!dispatcher.enqueue_health_check(ServerId(2)));
    assert_eq!(servers.try_recv(), Ok(ServerId(1)));
    assert!(dispatcher.enqueue_health_check(ServerId(3)));
}
