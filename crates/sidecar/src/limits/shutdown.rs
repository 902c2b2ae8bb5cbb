//! What follows a SIGTERM.

use std::time::Duration;

use super::inputs::LimitInputs;

/// SIGKILL comes no earlier than the longest deadline, taken as this where it is longer, and 0.7 s
/// after SIGTERM (the protocol page).
const MAX_SHUTDOWN_DEADLINE: Duration = Duration::from_secs(3);
/// New connections come for 0.4 s after SIGTERM (the protocol page).
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// The latest request that is accepted has its deadline by then.
const FORCED_RESPONSE_MARGIN: Duration = Duration::from_millis(550);
/// Leaves 0.1 s to write the last responses, and 0.05 s until the SIGKILL.
const EXIT_MARGIN: Duration = Duration::from_millis(650);

/// What follows a SIGTERM, each counted from the signal.
#[derive(Clone, Debug)]
pub(crate) struct ShutdownLimits {
    /// Connections are accepted for this long.
    pub(crate) accept_period: Duration,
    /// What is still open is answered at once after this long.
    pub(crate) forced_response_after: Duration,
    /// The longest time until the program ends.
    pub(crate) exit_after: Duration,
}

impl ShutdownLimits {
    pub(super) fn derive(inputs: &LimitInputs) -> Self {
        let longest_deadline = inputs.longest_deadline.min(MAX_SHUTDOWN_DEADLINE);
        Self {
            accept_period: ACCEPT_PERIOD,
            forced_response_after: longest_deadline + FORCED_RESPONSE_MARGIN,
            exit_after: longest_deadline + EXIT_MARGIN,
        }
    }
}
