//! Encoding of requests, and outcomes of responses.

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
    times_out_at: 5_000,
    disconnects_at: None,
};

#[test]
fn an_idempotent_request_has_no_key_and_no_body() {
    let text = REQUEST.encode(&scenario(), &arrival(0, 0, Some(900)), 2_000);
    let expected = "GET /api?w=1234.6&c=0 HTTP/1.1\r\nHost: origin.svc\r\n\
                    X-Request-ID: 00000000000000ab\r\nX-Priority-Class: job-status\r\n\
                    X-Tenant-Id: oita-funai\r\nX-Timeout: 3000u\r\nX-Cost: 900\r\n\r\n";
    assert_eq!(text, expected);
}

#[test]
fn a_request_with_an_idempotency_key_sends_it_and_an_expired_timeout_is_one_microsecond() {
    let text = REQUEST.encode(&scenario(), &arrival(1, 9, None), 6_000);
    let expected = "POST /api?w=1234.6&c=1 HTTP/1.1\r\nHost: origin.svc\r\n\
                    X-Request-ID: 00000000000000ab\r\nX-Priority-Class: pay-order\r\n\
                    X-Tenant-Id: none\r\nX-Timeout: 1u\r\nIdempotency-Key: k00000000000000ab\r\n\
                    Content-Length: 11\r\n\r\n{\"order\":1}";
    assert_eq!(text, expected);
}

#[test]
fn a_non_idempotent_request_has_a_body_and_no_key() {
    let text = REQUEST.encode(&scenario(), &arrival(2, 0, None), 2_000);
    let expected = "POST /api?w=1234.6&c=2 HTTP/1.1\r\nHost: origin.svc\r\n\
                    X-Request-ID: 00000000000000ab\r\nX-Priority-Class: book-slot\r\n\
                    X-Tenant-Id: oita-funai\r\nX-Timeout: 3000u\r\nContent-Length: 10\r\n\r\n\
                    {\"slot\":3}";
    assert_eq!(text, expected);
}

#[test]
fn a_response_counts_as_served_only_if_its_body_names_the_request() {
    let outcome = |status: &str, body: &str| {
        let message = parse_response(&format!("HTTP/1.1 {status}\r\n\r\n"), body);
        Response::from_message(&message, REQUEST.number).outcome
    };
    let matching_body = "done 00000000000000ab at s3\n";
    assert_eq!(outcome("200 OK", matching_body), RequestOutcome::Served);
    let mismatched_body = "done 00000000000000ac at s3\n";
    assert_eq!(
        outcome("200 OK", mismatched_body),
        RequestOutcome::Mismatched
    );
    assert_eq!(outcome("200 OK", ""), RequestOutcome::Mismatched);
    for status in ["503 Service Unavailable", "429 Too Many Requests"] {
        assert_eq!(outcome(status, ""), RequestOutcome::Rejected);
    }
    for status in ["500 Internal Server Error", "504 Gateway Timeout"] {
        assert_eq!(outcome(status, matching_body), RequestOutcome::Failed);
    }
}

#[test]
fn retry_after_is_clamped_and_ignored_unless_it_is_a_number() {
    let retry_after = |value: &str| {
        let head = format!("HTTP/1.1 503 Service Unavailable\r\nRetry-After: {value}\r\n\r\n");
        Response::from_message(&parse_response(&head, ""), REQUEST.number).retry_after
    };
    assert_eq!(retry_after("0.25"), Some(250_000));
    assert_eq!(retry_after("-3"), Some(0));
    assert_eq!(retry_after("1e9"), Some(600_000_000));
    assert_eq!(retry_after("soon"), None);
}

#[test]
fn only_an_unanswered_request_of_a_disconnecting_client_counts_as_disconnected() {
    let disconnecting = OutgoingRequest {
        disconnects_at: Some(4_000),
        ..REQUEST
    };
    let unanswered = RequestOutcome::Unanswered;
    assert_eq!(
        disconnecting.final_outcome(unanswered),
        RequestOutcome::Disconnected
    );
    assert_eq!(REQUEST.final_outcome(unanswered), unanswered);
    let served = RequestOutcome::Served;
    assert_eq!(disconnecting.final_outcome(served), served);
}
