//! Decodes the simulator's events into events of the balancer.
//!
//! This module defines the protocol names of the kinds of events and of their values;
//! [`wire`](crate::wire) defines the names of the fields.

use arrowstand_balancer::{
    AttemptEnd, Event, IncomingRequest, Outcome, RequestId, ServerId, UpdateKind,
};
use arrowstand_platform::micros_from_ms;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;

use super::endpoint_table::EndpointTables;
use super::instance::NameInterner;
use crate::error::EventError;
use crate::wire::EventMessage;

/// Radix of a request id.
const REQUEST_ID_RADIX: u32 = 16;

/// Decodes an event of an instance and interns the names in it.
///
/// # Errors
/// Returns an error if the kind or a value is unknown or invalid, or a required field is missing.
pub(super) fn decode(
    event: &EventMessage,
    names: &mut NameInterner,
    tables: &EndpointTables,
) -> Result<Event, EventError> {
    match event.kind {
        "roster-change" => endpoints_updated(event, names, tables),
        "request" => request_arrived(event, names),
        "ack-first" => Ok(Event::ResponseStarted {
            request: request_id(event)?,
        }),
        "response" => attempt_ended(event, names),
        "dropped" => Ok(Event::ClientDisconnected {
            request: request_id(event)?,
        }),
        "wakeup" => Ok(Event::TimerFired {
            token: event.required(event.timer_token, "cookie")?,
        }),
        "health" => Ok(Event::HealthCheckEnded {
            server: server_id(event, names)?,
            outcome: outcome(event)?,
            load_report: names.load_report(event.load_report.as_deref()),
        }),
        "whisper" => Ok(Event::GossipReceived {
            from: event.required(event.sender, "by")?,
            message: STANDARD.decode(event.required(event.payload, "contents")?)?,
        }),
        other => Err(EventError::UnknownEventKind(other.to_owned())),
    }
}

fn endpoints_updated(
    event: &EventMessage,
    names: &mut NameInterner,
    tables: &EndpointTables,
) -> Result<Event, EventError> {
    let kind = match event.required(event.update_kind, "kind")? {
        "incr" => UpdateKind::Incremental,
        "total" => UpdateKind::Full,
        "warm_copy" => UpdateKind::Cached,
        "lost" => UpdateKind::Lost,
        other => return Err(event.unknown_value("kind", other)),
    };
    let mut endpoints = Vec::new();
    if kind != UpdateKind::Lost {
        let number = event.required(event.table, "table")?;
        let table = tables.get(number).ok_or_else(|| EventError::UnknownTable {
            event_kind: event.kind.to_owned(),
            number,
        })?;
        endpoints.extend(table.iter().map(|entry| names.endpoint(entry)));
    }
    Ok(Event::EndpointsUpdated {
        kind,
        version: event.version.unwrap_or(0),
        endpoints,
    })
}

fn request_arrived(event: &EventMessage, names: &NameInterner) -> Result<Event, EventError> {
    let class_name = event.required(event.class, "grade")?;
    let class = names
        .class_id(class_name)
        .ok_or_else(|| event.unknown_value("grade", class_name))?;
    Ok(Event::RequestArrived(IncomingRequest {
        id: request_id(event)?,
        class,
        time_left: micros_from_ms(event.time_left_ms.unwrap_or(0.0)),
        work_hint: event.work_hint_ms.map(micros_from_ms),
    }))
}

fn attempt_ended(event: &EventMessage, names: &mut NameInterner) -> Result<Event, EventError> {
    Ok(Event::AttemptEnded(AttemptEnd {
        request: request_id(event)?,
        attempt: event.required(event.attempt, "n")?,
        server: server_id(event, names)?,
        outcome: outcome(event)?,
        request_finished: event.required(event.finished, "finished")?,
        elapsed: micros_from_ms(event.elapsed_ms.unwrap_or(0.0)),
        load_report: names.load_report(event.load_report.as_deref()),
    }))
}

fn request_id(event: &EventMessage) -> Result<RequestId, EventError> {
    let text = event.required(event.request, "txn")?;
    u64::from_str_radix(text, REQUEST_ID_RADIX)
        .map(RequestId)
        .map_err(|_| EventError::InvalidRequestId {
            event_kind: event.kind.to_owned(),
            text: text.to_owned(),
        })
}

fn server_id(event: &EventMessage, names: &mut NameInterner) -> Result<ServerId, EventError> {
    Ok(names.server_id(event.required(event.server, "server")?))
}

fn outcome(event: &EventMessage) -> Result<Outcome, EventError> {
    match event.required(event.outcome, "rc")? {
        "served" => Ok(Outcome::Served),
        "server_error" => Ok(Outcome::ServerError),
        "turned_away" => Ok(Outcome::Rejected),
        "no_answer" => Ok(Outcome::TimedOut),
        "no_connection" => Ok(Outcome::ConnectFailed),
        "connection_lost" => Ok(Outcome::Reset),
        "called_off" => Ok(Outcome::Cancelled),
        "not_sent" => Ok(Outcome::NotSent),
        other => Err(EventError::UnknownOutcome(other.to_owned())),
    }
}

#[cfg(test)]
mod tests;
