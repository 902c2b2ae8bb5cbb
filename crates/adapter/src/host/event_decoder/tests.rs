use arrowstand_balancer::{EndpointStatus, Event, Outcome, UpdateKind};

use super::decode;
use crate::host::endpoint_table::EndpointTables;
use crate::host::instance::Names;
use crate::wire::EventMessage;

fn decoded(text: &str, names: &mut Names, tables: &EndpointTables) -> Event {
    let event: EventMessage = serde_json::from_str(text).expect("an event");
    decode(&event, names, tables).expect("valid")
}

/// The outcomes of attempts and health checks, by the simulator's word for each.
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
fn every_outcome_has_its_code() {
    for (code, expected) in OUTCOMES {
        let text = format!(r#"{{"msg": "health", "server": "s", "rc": "{code}"}}"#);

        let event = decoded(&text, &mut Names::default(), &EndpointTables::default());

        let Event::HealthCheckEnded { outcome, .. } = event else {
            panic!("{event:?}");
        };
        assert_eq!(outcome, expected);
    }
}

/// Table 3 with two servers.
fn tables() -> EndpointTables {
    let mut tables = EndpointTables::default();
    let table = r#"{"msg": "roster", "table": 3, "members-list": [
        {"launched-ms": 1.5, "condition": "terminating", "server": "a", "pod": 2, "area": "z"},
        {"launched-ms": 0, "condition": "terminated", "server": "b"}]}"#;
    let event = serde_json::from_str(table).expect("an event");
    tables.on_table(&event).expect("valid");
    tables
}

#[test]
fn an_update_has_the_endpoints_of_its_table() {
    let text = r#"{"msg": "roster-change", "kind": "total", "table": 3, "gen": 8}"#;

    let event = decoded(text, &mut Names::default(), &tables());

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
fn an_update_that_was_lost_has_no_endpoints() {
    let text = r#"{"msg": "roster-change", "kind": "lost"}"#;

    let event = decoded(text, &mut Names::default(), &tables());

    let Event::EndpointsUpdated {
        kind, endpoints, ..
    } = event
    else {
        panic!("{event:?}");
    };
    assert_eq!(kind, UpdateKind::Lost);
    assert!(endpoints.is_empty());
}
