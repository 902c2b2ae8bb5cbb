//! The rule that a server gets no new attempt once its drain, or its end, was notified.
//!
//! Owns the grace after the notification; the notifications are those of `endpoint_view`.

use crate::conversion::s_from_micros;
use crate::scenario::Micros;

/// The rule, with its time limit.
pub(super) struct DrainRule {
    /// How long after the notification an attempt may still start.
    grace: Micros,
}

impl DrainRule {
    pub(super) fn new(grace: Micros) -> Self {
        Self { grace }
    }

    /// What an attempt that starts at `at` violates, by when its sidecar was notified, if it was.
    pub(super) fn violation(&self, at: Micros, notified_at: Option<Micros>) -> Option<String> {
        let notified_at = notified_at.filter(|notified_at| at > notified_at + self.grace)?;
        let seconds = s_from_micros(at - notified_at);
        Some(format!("drain notified {seconds:.3} s before"))
    }
}
