use super::RequestState;
use crate::{
    ClassId, Endpoint, Idempotency, IncomingRequest, Micros, Outcome, RequestClass, RequestId,
    ServerId,
};

fn request_with(
    class: &RequestClass,
    time_left: Micros,
    work_hint: Option<Micros>,
) -> RequestState {
    let incoming = IncomingRequest {
        id: RequestId(1),
        class: ClassId(0),
        time_left,
        work_hint,
    };
    RequestState::new(&incoming, class, 1.0, 1_000)
}

fn request() -> RequestState {
    request_with(
        &RequestClass::new(Idempotency::Idempotent, 250, 600),
        600,
        None,
    )
}

#[test]
fn objective_grows_with_the_work_hint_up_to_the_time_left() {
    let class = RequestClass {
        objective_per_work: 2.0,
        ..RequestClass::new(Idempotency::Idempotent, 250, 600)
    };
    assert_eq!(request_with(&class, 600, None).objective_at(), 1_250);
    assert_eq!(request_with(&class, 600, Some(100)).objective_at(), 1_450);
    assert_eq!(request_with(&class, 400, Some(100)).objective_at(), 1_400);
    assert_eq!(request_with(&class, 900, Some(500)).objective_at(), 1_600);
}

#[test]
fn attempt_in_flight_or_with_an_ambiguous_end_may_have_executed() {
    let mut request = request();
    assert_eq!(
        request.on_attempt_sent(&Endpoint::ready(ServerId(4), 4), 1_010),
        0
    );
    assert!(request.first_possible_execution().is_some());
    request.on_attempt_ended(0, Outcome::Rejected);
    assert!(request.first_possible_execution().is_none());
    assert_eq!(
        request.on_attempt_sent(&Endpoint::ready(ServerId(5), 5), 1_020),
        1
    );
    request.on_attempt_ended(1, Outcome::Reset);
    request.on_attempt_ended(9, Outcome::Rejected);
    assert_eq!(
        request
            .first_possible_execution()
            .map(super::Attempt::sent_at),
        Some(1_020)
    );
    assert_eq!(
        (request.in_flight_count(), request.tried_servers()),
        (0, vec![ServerId(4), ServerId(5)])
    );
}

#[test]
fn last_pending_load_check_ends_the_wait_once() {
    let mut request = request();
    assert!(!request.on_load_check_ended(ServerId(1)));
    request.on_load_checks_started(vec![ServerId(1), ServerId(2)]);
    assert!(!request.on_load_check_ended(ServerId(1)));
    assert!(!request.on_load_check_ended(ServerId(7)));
    assert!(request.on_load_check_ended(ServerId(2)));
    assert!(!request.on_load_check_ended(ServerId(2)));
}
