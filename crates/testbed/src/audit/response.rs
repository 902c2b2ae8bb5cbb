//! The rule that each accepted request gets one complete final response in time.
//!
//! The auditor determines whether a response is late or not required.

use crate::event_log::RequestOutcome;

/// How a request ended.
pub(super) struct RequestEnd {
    pub(super) outcome: RequestOutcome,
    /// Whether the request requires no response.
    pub(super) exempt: bool,
    /// Whether the deadline and the grace after it had passed.
    pub(super) late: bool,
}

/// Describes the violation by the end of a request; `None` if it keeps the rule.
pub(super) fn violation(end: &RequestEnd) -> Option<&'static str> {
    match end.outcome {
        RequestOutcome::Mismatched => Some("a response that no server made for it"),
        RequestOutcome::ConnectionLost | RequestOutcome::Unanswered if end.exempt => None,
        RequestOutcome::ConnectionLost => {
            Some("the sidecar closed the connection without a response")
        }
        RequestOutcome::Unanswered => Some("no response in time"),
        _ if end.late => Some("the response came too late"),
        _ => None,
    }
}
