//! Process-wide counters of requests, attempts, clients, servers, health checks and endpoint lists.
//! Each counter is printed under its field's name, which operators' tools read.

use std::cell::Cell;
use std::fmt;

use arrowstand_balancer::Outcome;

use crate::message::SendBlocked;

macro_rules! counters {
    ($($name:ident: $text:literal,)*) => {
        /// All counters since the process started; printed on request and at exit.
        #[derive(Default)]
        pub(crate) struct Counters { $(#[doc = $text] pub(crate) $name: Counter,)* }

        impl fmt::Display for Counters {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(writeln!(formatter, "{} {}", stringify!($name), self.$name.get())?;)*
                Ok(())
            }
        }
    };
}

/// A counter that only increases.
#[derive(Default)]
pub(crate) struct Counter(Cell<u64>);

impl Counter {
    pub(crate) fn inc(&self) {
        self.add(1);
    }

    pub(crate) fn add(&self, count: usize) {
        self.0.set(self.0.get() + count as u64);
    }

    /// The count since the process started.
    pub(crate) fn get(&self) -> u64 {
        self.0.get()
    }
}

counters! {
    requests_accepted: "Requests admitted to the balancer.",
    requests_malformed: "Requests answered with a 4xx response.",
    requests_over_capacity: "Requests rejected because too many clients were connected.",
    requests_over_memory: "Requests rejected because requests held as much memory as they may.",
    clients_evicted: "Client connections ended for others while a request was incomplete.",
    clients_timed_out: "Client connections closed because no complete request arrived in time.",
    responses_served: "Server responses forwarded to clients.",
    responses_rejected: "Requests that the balancer rejected because of overload.",
    responses_failed: "Requests that the balancer failed.",
    responses_overdue: "Requests that failed because of a late decision or a forced shutdown.",
    clients_disconnected: "Requests whose client disconnected before the response.",
    attempts_started: "Attempts started.",
    attempts_served: "Attempts that the server served.",
    attempts_error: "Attempts that ended in an error response.",
    attempts_rejected: "Attempts that a server rejected without executing them.",
    attempts_timed_out: "Attempts that timed out.",
    attempts_connect_failed: "Attempts whose request was never written completely.",
    attempts_reset: "Attempts without a complete response once the request was written.",
    responses_duplicated: "Responses behind which a second copy had arrived; they are served.",
    responses_overlong: "Responses longer than their length, which fail their attempts.",
    attempts_cancelled: "Attempts that were cancelled or never sent.",
    attempts_blocked_client_left: "Attempts not sent because the client had disconnected.",
    attempts_blocked_no_time: "Attempts not sent because they had timed out.",
    attempts_blocked_window_over: "Retries not sent because the retry window had expired.",
    attempts_blocked_server_draining:
        "Attempts not sent because the server was draining or its address had changed.",
    attempts_blocked_list_stale: "Attempts not sent because the endpoint list was stale.",
    health_checks_sent: "Health checks started.",
    health_checks_failed: "Health checks that failed.",
    connections_opened: "Connections to servers opened.",
    polls_started: "Calls of discovery that open a watch.",
    polls_failed: "Polls that failed before a response arrived, or were rejected.",
    polls_delayed: "Polls whose response had not arrived when discovery was called again.",
    endpoint_updates: "Full, incremental and cached endpoint lists applied.",
    endpoint_lines_skipped: "Malformed entries and lines skipped in endpoint lists.",
    cost_headers_skipped: "Malformed work hints skipped.",
    timeout_headers_skipped: "Requests whose client timeout was missing or malformed.",
    load_reports_skipped: "Malformed load reports skipped.",
}

impl Counters {
    /// Counts an attempt that is not sent, by the reason.
    pub(crate) fn count_blocked_attempt(&self, blocked: SendBlocked) {
        let counter = match blocked {
            SendBlocked::ClientDisconnected => &self.attempts_blocked_client_left,
            SendBlocked::AttemptTimedOut => &self.attempts_blocked_no_time,
            SendBlocked::RetryWindowExpired => &self.attempts_blocked_window_over,
            SendBlocked::ServerDraining | SendBlocked::ServerAddressChanged => {
                &self.attempts_blocked_server_draining
            }
            SendBlocked::EndpointListStale => &self.attempts_blocked_list_stale,
        };
        counter.inc();
    }

    /// Counts an attempt that has ended, by its outcome.
    pub(crate) fn count_ended_attempt(&self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Served => &self.attempts_served,
            Outcome::ServerError => &self.attempts_error,
            Outcome::Rejected => &self.attempts_rejected,
            Outcome::TimedOut => &self.attempts_timed_out,
            Outcome::ConnectFailed => &self.attempts_connect_failed,
            Outcome::Reset => &self.attempts_reset,
            Outcome::Cancelled | Outcome::NotSent => &self.attempts_cancelled,
        };
        counter.inc();
    }
}
