//! What polls of discovery show, and when the next one is due.

use arrowstand_balancer::Micros;

/// What a failed poll shows about discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// The connection was refused: no process listens at the address.
    Refused,
    /// Discovery is down or cannot be reached: it can notify no changes.
    Unreachable,
    /// Discovery could be reached while the poll waited, and did not tell its changes.
    Unanswered,
    /// The poll failed for a reason of this process, which shows nothing.
    Local,
}

/// When discovery must be polled again, whether or not the balancer requests it by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPoll {
    /// Within this time, so that an outage of discovery does not make the list expire.
    Within(Micros),
    /// As soon as the load on discovery allows: the list may be missing a notified drain soon.
    Soon,
}
