//! How one attempt ended.

use arrowstand_balancer::{LoadReport, Outcome};

use super::request::Payload;

/// How an attempt ended.
pub(crate) struct AttemptResult {
    /// What the balancer is to know of the attempt's end.
    pub outcome: Outcome,
    /// The load report that came with the response.
    pub load_report: Option<LoadReport>,
    /// The response's body and forwarded headers, where the request was served.
    pub payload: Option<Payload>,
}

impl AttemptResult {
    /// An attempt of which no response came.
    pub(crate) fn without_response(outcome: Outcome) -> Self {
        Self::without_payload(outcome, None)
    }

    /// An attempt whose response does not go to the client.
    pub(crate) fn without_payload(outcome: Outcome, load_report: Option<LoadReport>) -> Self {
        Self {
            outcome,
            load_report,
            payload: None,
        }
    }
}
