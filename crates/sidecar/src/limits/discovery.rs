//! Limits on polls of discovery, on its watches and on the endpoint list.

use std::time::Duration;

use arrowstand_control::list_freshness::StalenessBounds;

use super::inputs::LimitInputs;
use crate::units::micros;

/// Time after which a change to the endpoint list counts as notified, whether or not it arrived;
/// defined by the platform.
pub(super) const CHANGE_NOTICE_DELAY: Duration = Duration::from_secs(6);
/// The same after a new configuration relocates discovery; defined by the platform.
const RELOCATION_NOTICE_DELAY: Duration = Duration::from_secs(4);
/// 1.5 times the heartbeat interval of 2 s. A watch that is silent for longer counts as lost.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest delay of the balancer's first new poll, 1.5 times its initial backoff of 0.2 s, plus the
/// scheduling delay of a busy machine.
pub(super) const MAX_POLL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum size of an object. Without it, an object that never ends would exhaust the memory.
const MAX_OBJECT_BYTES: usize = 512 * 1024;
/// Deeper than any endpoint list. JSON is parsed recursively, so this bounds the use of the stack.
const MAX_JSON_DEPTH: usize = 32;
/// Smallest and largest value of [`DiscoveryLimits::max_early_poll_delay`].
const MAX_EARLY_POLL_DELAYS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(300));

/// Limits on polls of discovery, on its watches and on the endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct DiscoveryLimits {
    /// Maximum size of an object.
    pub(crate) max_object_bytes: usize,
    /// Maximum nesting depth of the JSON.
    pub(crate) max_json_depth: usize,
    /// Timeout for the response head of a poll. The time between the last event of a watch that
    /// fails and the end of the poll that replaces it must not exceed the change notice delay plus
    /// the drain grace period: by then the grace period of a drain that was missed has ended.
    pub(crate) poll_timeout: Duration,
    /// A watch that is silent for this long counts as lost.
    pub(crate) watch_silence_timeout: Duration,
    /// Upper bound of the random delay before an early poll, which does not wait for the balancer's
    /// backoff because the endpoint list may become stale.
    pub(crate) max_early_poll_delay: Duration,
    /// When changes that are missing from the list count as notified. Half of the drain grace
    /// period is reserved for requests in transit.
    pub(crate) staleness: StalenessBounds,
}

impl DiscoveryLimits {
    pub(super) fn derive(inputs: &LimitInputs) -> Self {
        let (min_delay, max_delay) = MAX_EARLY_POLL_DELAYS;
        Self {
            max_object_bytes: MAX_OBJECT_BYTES,
            max_json_depth: MAX_JSON_DEPTH,
            poll_timeout: (CHANGE_NOTICE_DELAY + inputs.drain_grace)
                .saturating_sub(WATCH_SILENCE_TIMEOUT + MAX_POLL_BACKOFF)
                .max(WATCH_SILENCE_TIMEOUT),
            watch_silence_timeout: WATCH_SILENCE_TIMEOUT,
            max_early_poll_delay: (inputs.drain_grace / 4).clamp(min_delay, max_delay),
            staleness: StalenessBounds {
                push_mode: inputs.push_mode,
                max_poll_interval: micros(inputs.max_poll_interval),
                silence_notice_delay: micros(CHANGE_NOTICE_DELAY),
                relocation_notice_delay: micros(RELOCATION_NOTICE_DELAY),
                drain_slack: micros(inputs.drain_grace / 2),
            },
        }
    }
}
