//! The rule that each accepted request has one complete final response, in time.
//!
//! Owns no state: whether a response is late or not required is found by the auditor.

use crate::event_log::RequestOutcome;

/// How a request ended.
pub(super) struct RequestEnd {
    pub(super) outcome: RequestOutcome,
    /// Whether no response was required.
    pub(super) excused: bool,
    /// Whether the time for a response had passed.
    pub(super) late: bool,
}

/// What a request's end violates; nothing if it is as it should be.
pub(super) fn violation(end: &RequestEnd) -> Option<&'static str> {
    match end.outcome {
        RequestOutcome::Mismatched => Some("a response that no server made for it"),
        RequestOutcome::ConnectionLost | RequestOutcome::Unanswered if end.excused => None,
        RequestOutcome::ConnectionLost => {
            Some("the sidecar closed the connection without a response")
        }
        RequestOutcome::Unanswered => Some("no response in time"),
        _ if end.late => Some("the response came too late"),
        _ => None,
    }
}
