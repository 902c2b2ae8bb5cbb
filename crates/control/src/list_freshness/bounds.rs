//! The limits from which the expiry of the endpoint list follows.

use arrowstand_balancer::Micros;

/// Limits on the age of the endpoint list, derived from the settings. Times are in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StalenessBounds {
    /// Discovery pushes changes: a change counts as notified whether or not a watch is open.
    pub push_mode: bool,
    /// In poll mode, how long a list is valid after the last poll.
    pub max_poll_interval: Micros,
    /// Time after a change, or after the last event of a silent watch that missed it, at which the
    /// change counts as notified if discovery could be reached.
    pub change_notice_delay: Micros,
    /// Time after a change of discovery's configured address at which changes at the new address
    /// count as notified.
    pub relocation_notice_delay: Micros,
    /// Part of the drain grace period that may pass before an attempt's first byte is sent. The
    /// rest covers bytes in transit.
    pub drain_slack: Micros,
}
