use arrowstand_balancer::{Action, EjectionCause, RequestId, ServerEvent, ServerId, StateChange};

use super::encode;
use crate::host::instance::NameInterner;
use crate::reply::Reply;

const REQUEST: RequestId = RequestId(0xab);
const SERVER: ServerId = ServerId(0);

/// Asserts that an action is encoded as expected. `expected` omits the braces and the reply around
/// the action.
fn assert_encoded(action: &Action, expected: &str) {
    let mut names = NameInterner::default();
    names.server_id("10.0.0.1:80");
    let mut reply = Reply::new();
    encode(action, "sidecar/0", &names, &mut reply);
    let expected = format!("{{\"out\":[{{{expected}}}]}}\n");
    assert_eq!(reply.finish(), expected);
}

fn send(timeout: Option<u64>) -> Action {
    Action::Send {
        request: REQUEST,
        server: SERVER,
        timeout,
    }
}

#[test]
fn a_send_has_the_request_the_server_and_an_optional_timeout() {
    let sent =
        r#""msg":"transmit","i":"sidecar/0","txn":"00000000000000ab","server":"10.0.0.1:80""#;
    let sent_with_timeout = format!("{sent},\"within-ms\":1234.005");

    assert_encoded(&send(None), sent);
    assert_encoded(&send(Some(1_234_005)), &sent_with_timeout);
}

#[test]
fn a_cancel_has_the_number_of_the_attempt() {
    let action = Action::Cancel {
        request: REQUEST,
        attempt: 2,
    };
    let expected = r#""msg":"revoke","i":"sidecar/0","txn":"00000000000000ab","n":2"#;
    assert_encoded(&action, expected);
}

#[test]
fn a_final_action_has_the_request_and_a_rejection_an_optional_retry_after() {
    let reject = |retry_after| Action::Reject {
        request: REQUEST,
        retry_after,
    };
    let rejected = r#""msg":"turn-away","i":"sidecar/0","txn":"00000000000000ab""#;
    let rejected_with_retry_after = format!("{rejected},\"pause-ms\":0.070");
    assert_encoded(&reject(None), rejected);
    assert_encoded(&reject(Some(70)), &rejected_with_retry_after);

    let failed = r#""msg":"give-up","i":"sidecar/0","txn":"00000000000000ab""#;
    assert_encoded(&Action::Fail { request: REQUEST }, failed);
}

#[test]
fn timers_health_checks_and_polls_have_their_fields() {
    let timer = Action::SetTimer {
        token: 9,
        after: 5_000,
    };
    let expected = r#""msg":"wake-at","i":"sidecar/0","cookie":9,"from-now-ms":5.000"#;
    assert_encoded(&timer, expected);

    let expected = r#""msg":"sound-out","i":"sidecar/0","server":"10.0.0.1:80""#;
    assert_encoded(&Action::HealthCheck { server: SERVER }, expected);

    let expected = r#""msg":"observe","i":"sidecar/0","want":true"#;
    assert_encoded(&Action::PollEndpoints, expected);
}

#[test]
fn gossip_has_its_recipient_and_its_payload_in_base64() {
    let gossip = |to, message| Action::SendGossip { to, message };

    let to_all = r#""msg":"share","i":"sidecar/0","to":-1,"contents":"AQI=""#;
    assert_encoded(&gossip(None, vec![1, 2]), to_all);

    let to_one_and_empty = r#""msg":"share","i":"sidecar/0","to":4,"contents":"""#;
    assert_encoded(&gossip(Some(4), vec![]), to_one_and_empty);
}

#[test]
fn a_journal_line_ends_with_the_name_of_the_server_if_known() {
    let readmitted = |server| {
        let event = ServerEvent::Readmitted;
        Action::Record(StateChange::Server { server, event })
    };

    let without_server = r#""msg":"journal-line","i":"sidecar/0","what":"cleared""#;
    assert_encoded(&readmitted(ServerId(1)), without_server);

    let with_server = r#""msg":"journal-line","i":"sidecar/0","what":"cleared 10.0.0.1:80""#;
    assert_encoded(&readmitted(SERVER), with_server);
}

#[test]
fn a_lost_endpoint_list_has_a_journal_line() {
    let action = Action::Record(StateChange::EndpointListLost);
    let expected = r#""msg":"journal-line","i":"sidecar/0","what":"list lost""#;
    assert_encoded(&action, expected);
}

const fn ejected(cause: EjectionCause) -> ServerEvent {
    ServerEvent::Ejected { cause }
}

/// The events of a server and their descriptions in the simulator's journal.
const EVENT_DESCRIPTIONS: [(ServerEvent, &str); 5] = [
    (
        ejected(EjectionCause::HealthChecks),
        "suspected: probes fail",
    ),
    (
        ejected(EjectionCause::Attempts),
        "suspected: work fails or is overdue",
    ),
    (ejected(EjectionCause::Gossip), "suspected: a peer says so"),
    (ServerEvent::DeclaredDead, "dead"),
    (ServerEvent::Readmitted, "cleared"),
];

#[test]
fn every_server_event_has_a_journal_line() {
    for (event, description) in EVENT_DESCRIPTIONS {
        let server = SERVER;
        let action = Action::Record(StateChange::Server { server, event });
        let line =
            format!(r#""msg":"journal-line","i":"sidecar/0","what":"{description} 10.0.0.1:80""#);
        assert_encoded(&action, &line);
    }
}
