//! The result of one attempt.

use arrowstand_balancer::{LoadReport, Outcome};

use super::request::Payload;

/// The result of one attempt.
pub(crate) struct AttemptResult {
    /// The outcome reported to the balancer.
    pub outcome: Outcome,
    /// The load report in the response, if any.
    pub load_report: Option<LoadReport>,
    /// The response's body and forwarded headers; `None` unless the request was served.
    pub payload: Option<Payload>,
}

impl AttemptResult {
    /// The result of an attempt that got no response.
    pub(crate) fn without_response(outcome: Outcome) -> Self {
        Self::without_payload(outcome, None)
    }

    /// The result of an attempt whose response is not forwarded to the client.
    pub(crate) fn without_payload(outcome: Outcome, load_report: Option<LoadReport>) -> Self {
        Self {
            outcome,
            load_report,
            payload: None,
        }
    }
}
