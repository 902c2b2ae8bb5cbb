//! What the sidecar took in, sent and answered, by kind.

use std::cell::Cell;
use std::fmt;

use arrowstand_balancer::Outcome;

use crate::upstream::send_guard::SendBlocked;

macro_rules! counters {
    ($($name:ident: $text:literal,)*) => {
        /// One cell a kind; printed on request and at exit.
        #[derive(Default)]
        pub struct Counters { $(#[doc = $text] pub $name: Count,)* }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(writeln!(f, "{} {}", stringify!($name), self.$name.get())?;)*
                Ok(())
            }
        }
    };
}

/// A count that only rises.
#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

counters! {
    transactions_taken: "Transactions handed to the module.",
    transactions_malformed: "Requests answered with a 4xx.",
    transactions_over_bound: "Requests turned away because too many terminals were connected.",
    terminals_dismissed: "Terminals closed for saying nothing, or never ending what they say.",
    answered_served: "Answers of a job server passed on.",
    answered_short_on_capacity: "Short-on-capacity replies that the module decided on.",
    answered_failed: "Transactions that failed.",
    answered_overdue: "Failures that the module had not decided in time.",
    terminals_gone: "Transactions whose terminal left first.",
    routed_tasks_sent: "Routed tasks begun.",
    routed_served: "Routed tasks that were served.",
    routed_error: "Routed tasks that ended in an error.",
    routed_rejected: "Routed tasks that a job server turned away.",
    routed_timed_out: "Routed tasks without an answer in time.",
    routed_connect_failed: "Routed tasks that were never written whole.",
    routed_reset: "Routed tasks whose connection broke.",
    routed_cancelled: "Routed tasks that were called off.",
    stopped_client_left: "Routed tasks not begun, since the client had left.",
    stopped_no_time: "Routed tasks not begun for want of time.",
    stopped_window_over: "Repeats not begun, since the window for them was over.",
    stopped_server_drains: "Routed tasks not begun, since the job server drains or has moved.",
    stopped_list_too_old: "Routed tasks not begun, since the list was too old to show a drain.",
    probes_sent: "Probes begun.",
    probes_failed: "Probes that failed.",
    connections_opened: "Connections to job servers opened.",
    list_events: "Lists of endpoints and changes read.",
    list_lines_skipped: "Lines of them that could not be read.",
    costs_skipped: "Estimates of a request's work that could not be read.",
    times_skipped: "Times that a terminal waits that could not be read, or were not told.",
    reports_skipped: "Load reports that could not be read.",
}

impl Counters {
    pub fn stopped(&self, stop: SendBlocked) {
        let cell = match stop {
            SendBlocked::ClientLeft => &self.stopped_client_left,
            SendBlocked::NoTime => &self.stopped_no_time,
            SendBlocked::WindowOver => &self.stopped_window_over,
            SendBlocked::ServerDraining | SendBlocked::ServerMoved => &self.stopped_server_drains,
            SendBlocked::ListStale => &self.stopped_list_too_old,
        };
        cell.add();
    }

    pub fn routed(&self, outcome: Outcome) {
        let cell = match outcome {
            Outcome::Served => &self.routed_served,
            Outcome::ServerError => &self.routed_error,
            Outcome::Rejected => &self.routed_rejected,
            Outcome::TimedOut => &self.routed_timed_out,
            Outcome::ConnectFailed => &self.routed_connect_failed,
            Outcome::Reset => &self.routed_reset,
            Outcome::Cancelled | Outcome::NotSent => &self.routed_cancelled,
        };
        cell.add();
    }
}
