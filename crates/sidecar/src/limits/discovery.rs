//! Bounds on calls to discovery and on its endpoint list.

use std::time::Duration;

use arrowstand_control::list_freshness::StalenessBounds;

use super::inputs::LimitInputs;
use crate::units::micros;

/// A change of the endpoint list counts as notified after this long, whether or not it arrived (the
/// protocol page).
pub(super) const CHANGE_NOTICE_DELAY: Duration = Duration::from_secs(6);
/// After a new configuration it counts as notified this much later (the protocol page).
const RELOCATION_NOTICE_DELAY: Duration = Duration::from_secs(4);
/// One and a half of the heartbeat's 2 s: a watch that is silent for longer is lost.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// The balancer's longest first backoff before it polls again (one and a half of its `REASK`), and
/// what a busy machine adds to it.
pub(super) const MAX_POLL_BACKOFF: Duration = Duration::from_millis(500);
/// Bytes of one line. An object that does not end would otherwise fill the memory.
const MAX_OBJECT_BYTES: usize = 512 * 1024;
/// Deeper than any list. JSON is read recursively, so its depth bounds the stack.
const MAX_JSON_DEPTH: usize = 32;
/// Shortest and longest pause between polls for a list that is late.
const POLL_RETRY_DELAYS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(300));

/// Bounds on calls to discovery and on its endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct DiscoveryLimits {
    /// Bytes of one line.
    pub(crate) max_object_bytes: usize,
    /// Nesting of JSON that is read.
    pub(crate) max_json_depth: usize,
    /// The head of the response must come within this. A drain that is learnt later cannot be kept
    /// any more: from the last event of a watch that dies to the end of the call that replaces it,
    /// no more passes than the time after which a change counts as notified and the grace of a
    /// drain.
    pub(crate) poll_timeout: Duration,
    /// A watch that is silent for this long is lost.
    pub(crate) watch_silence_timeout: Duration,
    /// A list that is late is polled again after about this long, until it is there.
    pub(crate) poll_retry_delay: Duration,
    /// When what the list does not show counts as notified; half of the grace is left for what is
    /// on its way.
    pub(crate) staleness: StalenessBounds,
}

impl DiscoveryLimits {
    pub(super) fn derive(inputs: &LimitInputs) -> Self {
        let (min_delay, max_delay) = POLL_RETRY_DELAYS;
        Self {
            max_object_bytes: MAX_OBJECT_BYTES,
            max_json_depth: MAX_JSON_DEPTH,
            poll_timeout: (CHANGE_NOTICE_DELAY + inputs.drain_grace)
                .saturating_sub(WATCH_SILENCE_TIMEOUT + MAX_POLL_BACKOFF)
                .max(WATCH_SILENCE_TIMEOUT),
            watch_silence_timeout: WATCH_SILENCE_TIMEOUT,
            poll_retry_delay: (inputs.drain_grace / 4).clamp(min_delay, max_delay),
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
