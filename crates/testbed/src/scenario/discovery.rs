//! Section on the service that lists servers.

use super::section::section;

section! {
    /// The service that lists servers, and lets sidecars watch the list.
    Discovery {
        /// From a drain, crash or planned end to its place in the list, in milliseconds.
        notice_ms: f64 = 1_500.0,
        /// The same for a machine that falls silent, in milliseconds.
        silent_notice_ms: f64 = 9_000.0,
        /// From a start to its place in the list, in milliseconds.
        add_ms: f64 = 1_200.0,
        /// Until a change has reached a watch, in milliseconds at most.
        spread_ms: f64 = 300.0,
        /// Polls a second that it serves.
        capacity: f64 = 4.0,
        /// A poll that waits longer fails, in milliseconds.
        timeout_ms: f64 = 3_000.0,
    }
}
