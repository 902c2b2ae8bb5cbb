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
    requests_accepted: "Transactions handed to the module.",
    requests_malformed: "Requests answered with a 4xx.",
    requests_over_capacity: "Requests turned away because too many terminals were connected.",
    clients_timed_out: "Terminals closed for saying nothing, or never ending what they say.",
    responses_served: "Answers of a job server passed on.",
    responses_rejected: "Short-on-capacity replies that the module decided on.",
    responses_failed: "Transactions that failed.",
    responses_overdue: "Failures that the module had not decided in time.",
    clients_disconnected: "Transactions whose terminal left first.",
    attempts_started: "Routed tasks begun.",
    attempts_served: "Routed tasks that were served.",
    attempts_error: "Routed tasks that ended in an error.",
    attempts_rejected: "Routed tasks that a job server turned away.",
    attempts_timed_out: "Routed tasks without an answer in time.",
    attempts_connect_failed: "Routed tasks that were never written whole.",
    attempts_reset: "Routed tasks whose connection broke.",
    attempts_cancelled: "Routed tasks that were called off.",
    attempts_blocked_client_left: "Routed tasks not begun, since the client had left.",
    attempts_blocked_no_time: "Routed tasks not begun for want of time.",
    attempts_blocked_window_over: "Repeats not begun, since the window for them was over.",
    attempts_blocked_server_draining: "Routed tasks not begun, since the job server drains or has moved.",
    attempts_blocked_list_stale: "Routed tasks not begun, since the list was too old to show a drain.",
    health_checks_sent: "Probes begun.",
    health_checks_failed: "Probes that failed.",
    connections_opened: "Connections to job servers opened.",
    endpoint_updates: "Lists of endpoints and changes read.",
    endpoint_lines_skipped: "Lines of them that could not be read.",
    cost_headers_skipped: "Estimates of a request's work that could not be read.",
    timeout_headers_skipped: "Times that a terminal waits that could not be read, or were not told.",
    load_reports_skipped: "Load reports that could not be read.",
}

impl Counters {
    pub fn on_attempt_blocked(&self, blocked: SendBlocked) {
        let cell = match blocked {
            SendBlocked::ClientLeft => &self.attempts_blocked_client_left,
            SendBlocked::NoTime => &self.attempts_blocked_no_time,
            SendBlocked::WindowOver => &self.attempts_blocked_window_over,
            SendBlocked::ServerDraining | SendBlocked::ServerMoved => {
                &self.attempts_blocked_server_draining
            }
            SendBlocked::ListStale => &self.attempts_blocked_list_stale,
        };
        cell.add();
    }

    pub fn on_attempt_ended(&self, outcome: Outcome) {
        let cell = match outcome {
            Outcome::Served => &self.attempts_served,
            Outcome::ServerError => &self.attempts_error,
            Outcome::Rejected => &self.attempts_rejected,
            Outcome::TimedOut => &self.attempts_timed_out,
            Outcome::ConnectFailed => &self.attempts_connect_failed,
            Outcome::Reset => &self.attempts_reset,
            Outcome::Cancelled | Outcome::NotSent => &self.attempts_cancelled,
        };
        cell.add();
    }
}
