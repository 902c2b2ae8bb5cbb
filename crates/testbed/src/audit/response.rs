//! The rule that each accepted request has one complete final response, in time.

use crate::event_log::RequestOutcome;

/// What a request's end violates; nothing if it is as it should be. `excused` where no response is
/// required, `late` where its time had passed.
pub(super) fn violation(
    outcome: RequestOutcome,
    excused: bool,
    late: bool,
) -> Option<&'static str> {
    match outcome {
        RequestOutcome::Mismatched => Some("a response that no server made for it"),
        RequestOutcome::ConnectionLost | RequestOutcome::Unanswered if excused => None,
        RequestOutcome::ConnectionLost => {
            Some("the sidecar closed the connection without a response")
        }
        RequestOutcome::Unanswered => Some("no response in time"),
        _ if late => Some("the response came too late"),
        _ => None,
    }
}
