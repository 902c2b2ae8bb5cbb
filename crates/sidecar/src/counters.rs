//! The counters of the process: requests, attempts, clients, servers, health checks and endpoint
//! lists. Their names are printed and are part of the interface.

use std::cell::Cell;
use std::fmt;

use arrowstand_balancer::Outcome;

use crate::message::SendBlocked;

macro_rules! counters {
    ($($name:ident: $text:literal,)*) => {
        /// One count of each kind since the start; printed on request and at exit.
        #[derive(Default)]
        pub(crate) struct Counters { $(#[doc = $text] pub(crate) $name: Count,)* }

        impl fmt::Display for Counters {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(writeln!(formatter, "{} {}", stringify!($name), self.$name.get())?;)*
                Ok(())
            }
        }
    };
}

/// A count that only rises.
#[derive(Default)]
pub(crate) struct Count(Cell<u64>);

impl Count {
    /// Counts one more.
    pub(crate) fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// How many there were since the start.
    pub(crate) fn get(&self) -> u64 {
        self.0.get()
    }
}

counters! {
    requests_accepted: "Requests handed to the balancer.",
    requests_malformed: "Requests that got a 4xx response.",
    requests_over_capacity: "Requests rejected because too many clients were connected.",
    clients_timed_out: "Client connections closed because no request came, or one that was not complete in time.",
    responses_served: "Responses of a server that were passed on.",
    responses_rejected: "Overload rejections that the balancer decided.",
    responses_failed: "Requests that the balancer decided to fail.",
    responses_overdue: "Requests that failed because the balancer had not decided in time.",
    clients_disconnected: "Requests whose client disconnected before the response.",
    attempts_started: "Attempts started.",
    attempts_served: "Attempts that were served.",
    attempts_error: "Attempts that ended in an error response.",
    attempts_rejected: "Attempts that a server rejected unprocessed.",
    attempts_timed_out: "Attempts without a response in time.",
    attempts_connect_failed: "Attempts whose request was never written completely.",
    attempts_reset: "Attempts without a complete response once the request was written.",
    attempts_cancelled: "Attempts that were cancelled, or never sent.",
    attempts_blocked_client_left: "Attempts not sent because the client had left.",
    attempts_blocked_no_time: "Attempts not sent because no time was left.",
    attempts_blocked_window_over: "Retries not sent because the deduplication window was over.",
    attempts_blocked_server_draining: "Attempts not sent because the server was draining or had moved.",
    attempts_blocked_list_stale: "Attempts not sent because the endpoint list was too old to show a drain.",
    health_checks_sent: "Health checks started.",
    health_checks_failed: "Health checks that failed.",
    connections_opened: "Connections to servers opened.",
    endpoint_updates: "Endpoint lists and changes to them that were read.",
    endpoint_lines_skipped: "Entries and lines of an endpoint list that could not be read.",
    cost_headers_skipped: "Estimates of a request's work that could not be read.",
    timeout_headers_skipped: "Requests whose client timeout was missing or could not be read.",
    load_reports_skipped: "Load reports that could not be read.",
}

impl Counters {
    /// An attempt is not sent, for this reason.
    pub(crate) fn on_attempt_blocked(&self, blocked: SendBlocked) {
        let counter = match blocked {
            SendBlocked::ClientLeft => &self.attempts_blocked_client_left,
            SendBlocked::NoTime => &self.attempts_blocked_no_time,
            SendBlocked::WindowOver => &self.attempts_blocked_window_over,
            SendBlocked::ServerDraining | SendBlocked::ServerMoved => {
                &self.attempts_blocked_server_draining
            }
            SendBlocked::ListStale => &self.attempts_blocked_list_stale,
        };
        counter.add();
    }

    /// An attempt has ended like this.
    pub(crate) fn on_attempt_ended(&self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Served => &self.attempts_served,
            Outcome::ServerError => &self.attempts_error,
            Outcome::Rejected => &self.attempts_rejected,
            Outcome::TimedOut => &self.attempts_timed_out,
            Outcome::ConnectFailed => &self.attempts_connect_failed,
            Outcome::Reset => &self.attempts_reset,
            Outcome::Cancelled | Outcome::NotSent => &self.attempts_cancelled,
        };
        counter.add();
    }
}
