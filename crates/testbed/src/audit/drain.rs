//! The rule that a sidecar starts no attempt to a server after the notification that the server
//! drains or is gone.
//!
//! An attempt may still start within a grace period after the notification. `endpoint_view` stores
//! the notifications.

use crate::conversion::s_from_micros;
use crate::scenario::Micros;

/// The rule and its grace period.
pub(super) struct DrainRule {
    /// Time after the notification in which an attempt may still start.
    grace: Micros,
}

impl DrainRule {
    pub(super) fn new(grace: Micros) -> Self {
        Self { grace }
    }

    /// Describes the violation by an attempt that starts at `at`, if it is one. `notified_at` is
    /// when its sidecar was notified; `None` if it was not.
    pub(super) fn violation(&self, at: Micros, notified_at: Option<Micros>) -> Option<String> {
        let notified_at = notified_at.filter(|notified_at| at > notified_at + self.grace)?;
        let seconds = s_from_micros(at - notified_at);
        Some(format!("drain notified {seconds:.3} s before"))
    }
}
