//! The bytes of a request, and the meaning of a response.

use super::{OutgoingRequest, Response};
use crate::emulator::http::parse_response;
use crate::event_log::RequestOutcome;
use crate::index::{ArrivalNumber, ClassIndex, RequestNumber, TenantIndex};
use crate::scenario::{Class, Idempotency, Scenario, Tenant};
use crate::workload::Arrival;

fn scenario() -> Scenario {
    let class = |name: &str, idempotency| Class {
        name: name.into(),
        idempotency,
        ..Class::default()
    };
    Scenario {
        class: vec![
            class("job-status", Idempotency::Idempotent),
            class("pay-order", Idempotency::IdempotencyKey),
            class("book-slot", Idempotency::NonIdempotent),
        ],
        tenant: vec![Tenant {
            name: "oita-funai".into(),
            ..Tenant::default()
        }],
        ..Scenario::default()
    }
}

fn arrival(class: u16, tenant: u16, hint: Option<u64>) -> Arrival {
    Arrival {
        at: 0,
        class: ClassIndex::new(class),
        tenant: TenantIndex::new(tenant),
        work: 1_234.56,
        work_hint: hint,
        honours_retry_after: false,
    }
}

const REQUEST: OutgoingRequest = OutgoingRequest {
    number: RequestNumber::new(0xab),
    arrival: ArrivalNumber::new(1),
    due: 5_000,
    disconnects_at: None,
};

#[test]
fn a_safe_request_has_no_key_and_no_body() {
    let text = REQUEST.text(&scenario(), &arrival(0, 0, Some(900)), 2_000);
    let expected = "GET /api?w=1234.6&c=0 HTTP/1.1\r\nHost: origin.svc\r\n\
                    X-Request-ID: 00000000000000ab\r\nX-Priority-Class: job-status\r\n\
                    X-Tenant-Id: oita-funai\r\nX-Timeout: 3000u\r\nX-Cost: 900\r\n\r\n";
    assert_eq!(text, expected);
}

#[test]
fn a_keyed_request_has_its_key_and_one_past_its_time_a_timeout_of_one_microsecond() {
    let text = REQUEST.text(&scenario(), &arrival(1, 9, None), 6_000);
    let expected = "POST /api?w=1234.6&c=1 HTTP/1.1\r\nHost: origin.svc\r\n\
                    X-Request-ID: 00000000000000ab\r\nX-Priority-Class: pay-order\r\n\
                    X-Tenant-Id: none\r\nX-Timeout: 1u\r\nIdempotency-Key: k00000000000000ab\r\n\
                    Content-Length: 11\r\n\r\n{\"order\":1}";
    assert_eq!(text, expected);
}

#[test]
fn an_unsafe_request_has_a_body_and_no_key() {
    let text = REQUEST.text(&scenario(), &arrival(2, 0, None), 2_000);
    let expected = "POST /api?w=1234.6&c=2 HTTP/1.1\r\nHost: origin.svc\r\n\
                    X-Request-ID: 00000000000000ab\r\nX-Priority-Class: book-slot\r\n\
                    X-Tenant-Id: oita-funai\r\nX-Timeout: 3000u\r\nContent-Length: 10\r\n\r\n\
                    {\"slot\":3}";
    assert_eq!(text, expected);
}

#[test]
fn a_response_is_served_only_where_a_server_made_it_for_this_request() {
    let outcome = |status: &str, body: &str| {
        let message = parse_response(&format!("HTTP/1.1 {status}\r\n\r\n"), body);
        Response::of(&message, REQUEST.number).outcome
    };
    let own = "done 00000000000000ab at s3\n";
    assert_eq!(outcome("200 OK", own), RequestOutcome::Served);
    let other = "done 00000000000000ac at s3\n";
    assert_eq!(outcome("200 OK", other), RequestOutcome::Mismatched);
    assert_eq!(outcome("200 OK", ""), RequestOutcome::Mismatched);
    for status in ["503 Service Unavailable", "429 Too Many Requests"] {
        assert_eq!(outcome(status, ""), RequestOutcome::Rejected);
    }
    for status in ["500 Internal Server Error", "504 Gateway Timeout"] {
        assert_eq!(outcome(status, own), RequestOutcome::Failed);
    }
}

#[test]
fn retry_after_is_bounded_and_anything_but_a_number_is_ignored() {
    let pause = |value: &str| {
        let head = format!("HTTP/1.1 503 Service Unavailable\r\nRetry-After: {value}\r\n\r\n");
        Response::of(&parse_response(&head, ""), REQUEST.number).retry_after
    };
    assert_eq!(pause("0.25"), Some(250_000));
    assert_eq!(pause("-3"), Some(0));
    assert_eq!(pause("1e9"), Some(600_000_000));
    assert_eq!(pause("soon"), None);
}

#[test]
fn only_a_client_that_was_to_disconnect_and_got_nothing_has_disconnected() {
    let leaves = OutgoingRequest {
        disconnects_at: Some(4_000),
        ..REQUEST
    };
    let unanswered = RequestOutcome::Unanswered;
    assert_eq!(leaves.outcome(unanswered), RequestOutcome::Disconnected);
    assert_eq!(REQUEST.outcome(unanswered), unanswered);
    let served = RequestOutcome::Served;
    assert_eq!(leaves.outcome(served), served);
}
