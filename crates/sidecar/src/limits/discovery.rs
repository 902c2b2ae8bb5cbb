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
/// Leaves time for one repetition of a lost SYN, which comes after 1 s.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Smallest delay after which a poll is repeated, however small the poll interval is.
const MIN_POLL_REPEAT_DELAY: Duration = Duration::from_millis(500);
/// A call that has waited for longer has probably lost its connection.
const MAX_POLL_WAIT: Duration = Duration::from_secs(30);
/// Longest delay of the balancer's first new poll, 1.5 times its initial backoff of 0.2 s, plus the
/// scheduling delay of a busy machine.
pub(super) const MAX_POLL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum size of an object. Without it, an object that never ends would exhaust the memory.
const MAX_OBJECT_BYTES: usize = 1024 * 1024;
/// Maximum number of JSON values of an object for each MiB of the memory limit.
const OBJECT_VALUES_PER_MIB: usize = 1024;
/// Enough for the largest fleet, 3,200 servers with 10 values each.
const MIN_OBJECT_VALUES: usize = 32 * 1024;
/// Deeper than any endpoint list. JSON is parsed recursively, so this bounds the use of the stack.
const MAX_JSON_DEPTH: usize = 32;
/// Smallest and largest value of [`DiscoveryLimits::max_early_poll_delay`].
const MAX_EARLY_POLL_DELAYS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(300));

/// Limits on an object from discovery, which bound the memory that it takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObjectLimits {
    /// Maximum size in bytes.
    pub(crate) max_bytes: usize,
    /// Maximum number of JSON values: a value takes more memory than the few bytes that it may
    /// have in the text.
    pub(crate) max_values: usize,
    /// Maximum nesting depth of the JSON.
    pub(crate) max_depth: usize,
}

impl ObjectLimits {
    fn derive(inputs: &LimitInputs) -> Self {
        Self {
            max_bytes: MAX_OBJECT_BYTES,
            max_values: (inputs.memory_mib * OBJECT_VALUES_PER_MIB).max(MIN_OBJECT_VALUES),
            max_depth: MAX_JSON_DEPTH,
        }
    }
}

/// Limits on polls of discovery, on its watches and on the endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct DiscoveryLimits {
    /// Limits on a single object.
    pub(crate) object: ObjectLimits,
    /// Timeout for the connection of a poll, shorter than the delay of a repeated poll: a poll that
    /// is repeated has been accepted.
    pub(crate) connect_timeout: Duration,
    /// How long a poll waits for a response head before it is repeated. The time between the last
    /// event of a watch that fails and the repetition of the poll that replaces it must not exceed
    /// the change notice delay plus the drain grace period: by then the grace period of a drain
    /// that was missed has ended. Polls that wait are repeated within the maximum poll interval.
    pub(crate) poll_repeat_delay: Duration,
    /// How long a poll keeps its place in discovery's queue while it is repeated.
    pub(crate) max_poll_wait: Duration,
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
        let poll_repeat_delay = poll_repeat_delay(inputs);
        Self {
            object: ObjectLimits::derive(inputs),
            connect_timeout: MAX_CONNECT_TIMEOUT.min(poll_repeat_delay / 2),
            poll_repeat_delay,
            max_poll_wait: MAX_POLL_WAIT,
            watch_silence_timeout: WATCH_SILENCE_TIMEOUT,
            max_early_poll_delay: (inputs.drain_grace / 4).clamp(min_delay, max_delay),
            staleness: StalenessBounds {
                push_mode: inputs.push_mode,
                max_poll_interval: micros(inputs.max_poll_interval),
                change_notice_delay: micros(CHANGE_NOTICE_DELAY),
                relocation_notice_delay: micros(RELOCATION_NOTICE_DELAY),
                drain_slack: micros(inputs.drain_grace / 2),
            },
        }
    }
}

fn poll_repeat_delay(inputs: &LimitInputs) -> Duration {
    let until_grace_ends = (CHANGE_NOTICE_DELAY + inputs.drain_grace)
        .saturating_sub(WATCH_SILENCE_TIMEOUT + MAX_POLL_BACKOFF)
        .max(WATCH_SILENCE_TIMEOUT);
    // The balancer repeats a poll after this part of the interval, too.
    let within_interval = inputs.max_poll_interval * 3 / 4;
    until_grace_ends
        .min(within_interval)
        .max(MIN_POLL_REPEAT_DELAY)
}
