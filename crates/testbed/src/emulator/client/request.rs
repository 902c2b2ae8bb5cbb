//! Encodes the clients' requests as HTTP/1.1 messages and maps responses to outcomes.
//!
//! Connections and timeouts are handled by `exchange`.

#[cfg(test)]
mod tests;

use crate::conversion::{MICROS_PER_S, micros_from_f64};
use crate::emulator::http::Message;
use crate::event_log::RequestOutcome;
use crate::index::{ArrivalNumber, RequestNumber};
use crate::scenario::{Idempotency, Micros, Scenario};
use crate::workload::Arrival;

/// Upper bound on the delay that a `Retry-After` header may ask for, in seconds.
const MAX_RETRY_AFTER_S: f64 = 600.0;

/// One request of an arrival: the first one or a retry.
pub(super) struct OutgoingRequest {
    pub(super) number: RequestNumber,
    pub(super) arrival: ArrivalNumber,
    /// When the client times out.
    pub(super) times_out_at: Micros,
    /// When the client disconnects, if it does so before its timeout.
    pub(super) disconnects_at: Option<Micros>,
}

impl OutgoingRequest {
    /// The outcome to record: a request without a response counts as disconnected rather than
    /// unanswered if its client was to disconnect.
    pub(super) fn final_outcome(&self, outcome: RequestOutcome) -> RequestOutcome {
        if self.disconnects_at.is_some() && outcome == RequestOutcome::Unanswered {
            RequestOutcome::Disconnected
        } else {
            outcome
        }
    }

    /// The HTTP/1.1 message of the request, with the time left until the timeout as of `now`.
    pub(super) fn encode(&self, scenario: &Scenario, arrival: &Arrival, now: Micros) -> String {
        let class = &scenario.class[arrival.class.index()];
        let request_id = self.number;
        let class_name = &class.name;
        let timeout_us = self.times_out_at.saturating_sub(now).max(1);
        let (method, key_header, body) = match class.idempotency {
            Idempotency::Idempotent => ("GET", String::new(), ""),
            Idempotency::IdempotencyKey => {
                let header = format!("Idempotency-Key: k{request_id}\r\n");
                ("POST", header, "{\"order\":1}")
            }
            Idempotency::NonIdempotent => ("POST", String::new(), "{\"slot\":3}"),
        };
        let tenant = scenario.tenant.get(arrival.tenant.index());
        let tenant_name = tenant.map_or("none", |tenant| tenant.name.as_str());
        let length_header = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let cost_header = arrival
            .work_hint
            .map_or(String::new(), |hint| format!("X-Cost: {hint}\r\n"));
        format!(
            "{method} /api?w={:.1}&c={} HTTP/1.1\r\nHost: origin.svc\r\n\
             X-Request-ID: {request_id}\r\nX-Priority-Class: {class_name}\r\n\
             X-Tenant-Id: {tenant_name}\r\nX-Timeout: {timeout_us}u\r\n\
             {cost_header}{key_header}{length_header}\r\n{body}",
            arrival.work,
            arrival.class.value()
        )
    }
}

/// How a request ended, and the delay that its `Retry-After` header asks for.
#[derive(Clone, Copy)]
pub(super) struct Response {
    pub(super) outcome: RequestOutcome,
    pub(super) retry_after: Option<Micros>,
}

impl Response {
    /// The end of a request that got no response.
    pub(super) fn without_response(outcome: RequestOutcome) -> Self {
        Self {
            outcome,
            retry_after: None,
        }
    }

    /// Maps a response to an outcome. A status of 200 counts as served only if the body names this
    /// request; any other body is a mismatch.
    pub(super) fn from_message(message: &Message, request: RequestNumber) -> Self {
        let expected_body = format!("done {request} at s");
        let outcome = match message.status {
            200 if message.body.starts_with(expected_body.as_bytes()) => RequestOutcome::Served,
            200 => RequestOutcome::Mismatched,
            429 | 503 => RequestOutcome::Rejected,
            _ => RequestOutcome::Failed,
        };
        let seconds = message
            .header("retry-after")
            .and_then(|value| value.parse::<f64>().ok());
        let micros =
            |seconds: f64| micros_from_f64(seconds.clamp(0.0, MAX_RETRY_AFTER_S) * MICROS_PER_S);
        Self {
            outcome,
            retry_after: seconds.map(micros),
        }
    }
}
