use arrowstand_balancer::{EndpointStatus, Event, Outcome, UpdateKind};

use super::decode;
use crate::host::endpoint_table::EndpointTables;
use crate::host::instance::NameInterner;
use crate::wire::EventMessage;

fn decode_json(text: &str, names: &mut NameInterner, tables: &EndpointTables) -> Event {
    let event: EventMessage = serde_json::from_str(text).expect("an event");
    decode(&event, names, tables).expect("valid")
}

/// The outcomes of attempts and health checks by their protocol name.
const OUTCOMES: [(&str, Outcome); 8] = [
    ("served", Outcome::Served),
    ("server_error", Outcome::ServerError),
    ("turned_away", Outcome::Rejected),
    ("no_answer", Outcome::TimedOut),
    ("no_connection", Outcome::ConnectFailed),
    ("connection_lost", Outcome::Reset),
    ("called_off", Outcome::Cancelled),
    ("not_sent", Outcome::NotSent),
];

#[test]
fn every_outcome_is_decoded_from_its_protocol_name() {
    for (name, expected) in OUTCOMES {
        let text = format!(r#"{{"msg": "health", "server": "s", "rc": "{name}"}}"#);

        let event = decode_json(
            &text,
            &mut NameInterner::default(),
            &EndpointTables::default(),
        );

        let Event::HealthCheckEnded { outcome, .. } = event else {
            panic!("{event:?}");
        };
        assert_eq!(outcome, expected);
    }
}

/// Returns tables with table 3, which has two servers.
fn tables_with_two_servers() -> EndpointTables {
    let mut tables = EndpointTables::default();
    let table = r#"{"msg": "roster", "table": 3, "members-list": [
        {"launched-ms": 1.5, "condition": "terminating", "server": "a", "pod": 2, "area": "z"},
        {"launched-ms": 0, "condition": "terminated", "server": "b"}]}"#;
    let event = serde_json::from_str(table).expect("an event");
    tables.insert(&event).expect("valid");
    tables
}

#[test]
fn an_update_has_the_endpoints_of_its_table() {
    let text = r#"{"msg": "roster-change", "kind": "total", "table": 3, "gen": 8}"#;

    let event = decode_json(
        text,
        &mut NameInterner::default(),
        &tables_with_two_servers(),
    );

    let Event::EndpointsUpdated {
        kind,
        version,
        endpoints,
    } = event
    else {
        panic!("{event:?}");
    };
    assert_eq!(kind, UpdateKind::Full);
    assert_eq!(version, 8);
    let [first, second] = &endpoints[..] else {
        panic!("{endpoints:?}");
    };
    assert_eq!(first.status, EndpointStatus::Draining);
    assert_eq!(first.incarnation, Some(1_500));
    assert_eq!(first.server.0, 0);
    assert_eq!(first.zone, 0);
    assert_eq!(first.cell, 2);
    assert_eq!(second.status, EndpointStatus::Removed);
    assert_eq!(second.incarnation, None);
    assert_eq!(second.server.0, 1);
    assert_eq!(second.zone, 1);
    assert_eq!(second.cell, 0);
}

#[test]
fn the_update_of_a_lost_list_has_no_endpoints() {
    let text = r#"{"msg": "roster-change", "kind": "lost"}"#;

    let event = decode_json(
        text,
        &mut NameInterner::default(),
        &tables_with_two_servers(),
    );

    let Event::EndpointsUpdated {
        kind, endpoints, ..
    } = event
    else {
        panic!("{event:?}");
    };
    assert_eq!(kind, UpdateKind::Lost);
    assert!(endpoints.is_empty());
}
