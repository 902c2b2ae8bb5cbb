//! A request and its response: their form on the wire, and what they mean.
//!
//! Owns the header fields of a request and the reading of a response. Connections are unknown here.

#[cfg(test)]
mod tests;

use crate::conversion::{MICROS_PER_S, micros_from_f64};
use crate::emulator::http::Message;
use crate::event_log::RequestOutcome;
use crate::index::{ArrivalNumber, RequestNumber};
use crate::scenario::{Idempotency, Micros, Scenario};
use crate::workload::Arrival;

/// Longest pause that a rejection may ask for, in seconds.
const MAX_RETRY_AFTER_S: f64 = 600.0;

/// One request of an arrival.
pub(super) struct OutgoingRequest {
    pub(super) number: RequestNumber,
    pub(super) arrival: ArrivalNumber,
    /// When the client times out.
    pub(super) due: Micros,
    /// When it disconnects before, if it does.
    pub(super) disconnects_at: Option<Micros>,
}

impl OutgoingRequest {
    /// The outcome, where that of a client that disconnects differs from a timeout.
    pub(super) fn outcome(&self, outcome: RequestOutcome) -> RequestOutcome {
        if self.disconnects_at.is_some() && outcome == RequestOutcome::Unanswered {
            RequestOutcome::Disconnected
        } else {
            outcome
        }
    }

    /// The request on the wire, as it is sent at `now`.
    pub(super) fn text(&self, scenario: &Scenario, arrival: &Arrival, now: Micros) -> String {
        let class = &scenario.class[arrival.class.index()];
        let id = self.number;
        let class_name = &class.name;
        let timeout = self.due.saturating_sub(now).max(1);
        let (method, key, body) = match class.idempotency {
            Idempotency::Idempotent => ("GET", String::new(), ""),
            Idempotency::IdempotencyKey => {
                let key = format!("Idempotency-Key: k{id}\r\n");
                ("POST", key, "{\"order\":1}")
            }
            Idempotency::NonIdempotent => ("POST", String::new(), "{\"slot\":3}"),
        };
        let tenant = scenario.tenant.get(arrival.tenant.index());
        let tenant = tenant.map_or("none", |tenant| tenant.name.as_str());
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let cost = arrival
            .work_hint
            .map_or(String::new(), |hint| format!("X-Cost: {hint}\r\n"));
        format!(
            "{method} /api?w={:.1}&c={} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: {class_name}\r\nX-Tenant-Id: {tenant}\r\nX-Timeout: {timeout}u\r\n\
             {cost}{key}{length}\r\n{body}",
            arrival.work,
            arrival.class.value()
        )
    }
}

/// How a request ended, and the pause that a rejection asks for.
#[derive(Clone, Copy)]
pub(super) struct Response {
    pub(super) outcome: RequestOutcome,
    pub(super) retry_after: Option<Micros>,
}

impl Response {
    /// An end without a response.
    pub(super) fn none(outcome: RequestOutcome) -> Self {
        Self {
            outcome,
            retry_after: None,
        }
    }

    /// What a response says, and whether a server made it for this very request.
    pub(super) fn of(message: &Message, request: RequestNumber) -> Self {
        let own_body = format!("done {request} at s");
        let outcome = match message.status {
            200 if message.body.starts_with(own_body.as_bytes()) => RequestOutcome::Served,
            200 => RequestOutcome::Mismatched,
            429 | 503 => RequestOutcome::Rejected,
            _ => RequestOutcome::Failed,
        };
        let seconds = message
            .header("retry-after")
            .and_then(|s| s.parse::<f64>().ok());
        let micros =
            |seconds: f64| micros_from_f64(seconds.clamp(0.0, MAX_RETRY_AFTER_S) * MICROS_PER_S);
        Self {
            outcome,
            retry_after: seconds.map(micros),
        }
    }
}
