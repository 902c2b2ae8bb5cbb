use super::RequestTable;
use crate::state::RequestState;
use crate::{ClassId, Endpoint, Idempotency, IncomingRequest, RequestClass, RequestId, ServerId};

fn table(requests: u64) -> RequestTable {
    let class = RequestClass::new(Idempotency::Idempotent, 250, 600);
    let mut table = RequestTable::default();
    for id in (0..requests).map(RequestId) {
        let incoming = IncomingRequest {
            id,
            class: ClassId(0),
            time_left: 600,
            work_hint: None,
        };
        table.on_request_arrived(id, RequestState::new(&incoming, &class, 1.0, 0));
    }
    table
}

#[test]
fn due_requests_come_in_the_order_of_their_timers() {
    let mut table = table(3);
    table.set_timer(RequestId(0), 30);
    table.set_timer(RequestId(1), 10);
    table.set_timer(RequestId(2), 99);
    let due: Vec<RequestId> = std::iter::from_fn(|| table.take_due(50)).collect();
    assert_eq!(due, [RequestId(1), RequestId(0)]);
}

#[test]
fn replaced_timer_does_not_fire() {
    let mut table = table(1);
    table.set_timer(RequestId(0), 10);
    table.set_timer(RequestId(0), 60);
    assert_eq!(table.take_due(50), None);
    assert_eq!(table.take_due(60), Some(RequestId(0)));
}

#[test]
fn timer_of_a_sent_or_finished_request_does_not_fire() {
    let mut table = table(2);
    table.set_timer(RequestId(0), 10);
    table.set_timer(RequestId(1), 10);
    let sent = table.get_mut(RequestId(0)).expect("arrived");
    sent.on_attempt_sent(&Endpoint::ready(ServerId(0), 0), 5);
    table.on_request_finished(RequestId(1));
    assert_eq!(table.take_due(50), None);
}
