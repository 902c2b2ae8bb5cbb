//! Time limits of a shutdown.

use std::time::Duration;

use super::inputs::LimitInputs;

/// Longest deadline that a shutdown waits for. As the platform defines, the time from SIGTERM to
/// SIGKILL is at least the longest deadline, or this bound if the deadline is longer, plus 0.7 s.
const MAX_SHUTDOWN_DEADLINE: Duration = Duration::from_secs(3);
/// Clients may still connect for 0.4 s after SIGTERM, as the platform defines.
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// How long a client that has sent nothing may still send its first request, which is rejected.
const FIRST_REQUEST_PERIOD: Duration = Duration::from_millis(400);
/// Added to the longest deadline: the last request is accepted up to [`ACCEPT_PERIOD`] after the
/// SIGTERM, and its deadline must have passed. The rest up to SIGKILL is for a process that is held
/// up by 0.15 s, and for writing the responses.
const FORCED_RESPONSE_MARGIN: Duration = Duration::from_millis(510);
/// Time limits of a shutdown, each measured from the SIGTERM.
#[derive(Clone, Debug)]
pub(crate) struct ShutdownLimits {
    /// How long connections are still accepted.
    pub(crate) accept_period: Duration,
    /// How long after that a client that has sent nothing may still send its first request.
    pub(crate) first_request_period: Duration,
    /// When all requests still in flight get a response at once.
    pub(crate) forced_response_after: Duration,
}

impl ShutdownLimits {
    pub(super) fn derive(inputs: &LimitInputs) -> Self {
        let longest_deadline = inputs.longest_deadline.min(MAX_SHUTDOWN_DEADLINE);
        Self {
            accept_period: ACCEPT_PERIOD,
            first_request_period: FIRST_REQUEST_PERIOD,
            forced_response_after: longest_deadline + FORCED_RESPONSE_MARGIN,
        }
    }
}
