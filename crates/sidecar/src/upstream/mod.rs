//! The side of the servers: attempts and health checks over HTTP/1.1, and the connections that
//! carry them.
//!
//! Owns everything between one [`ProxyRequest`] that goes to one server and its one
//! [`AttemptResult`]: connection pools, the check before the first byte, how far a request was
//! written, the framing of responses, and what an exchange's end proves about the request's
//! execution. Which server, whether to retry, and what the client gets is decided elsewhere:
//! nothing here sends a request twice.
//!
//! Imports run one way, each file using only those ahead of it: `send_guard`, `write_progress`,
//! `response_head`, `response_framing`, `connection_limiter`, `tracked_stream`, `connector`,
//! `reuse_delay`, `connection_pool`, `exchange`, then `attempt` and `health_check`, then this one.
//! `load_report` stands by itself.

mod attempt;
mod connection_limiter;
mod connection_pool;
mod connector;
mod exchange;
mod health_check;
mod response_framing;
mod response_head;
mod reuse_delay;
mod send_guard;
mod tracked_stream;
mod write_progress;

use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{Outcome, ServerId};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::host::BalancerHost;
use crate::message::{AttemptResult, ProxyRequest};
use attempt::Attempt;

use connection_pool::ConnectionPools;
use health_check::HealthChecker;

/// Sends requests to servers.
pub(crate) struct Upstream {
    host: Rc<BalancerHost>,
    pools: Rc<ConnectionPools>,
}

impl Upstream {
    /// An upstream without a connection, with the limits and counters of its host.
    pub(crate) fn new(host: &Rc<BalancerHost>) -> Rc<Self> {
        let (limits, counters) = (Rc::clone(&host.limits), Rc::clone(&host.counters));
        Rc::new(Self {
            host: Rc::clone(host),
            pools: Rc::new(ConnectionPools::new(limits, counters)),
        })
    }

    /// Makes one attempt: sends the request to the server and waits up to `timeout` for its
    /// response. A retry whose first byte is not written before `start_before` is not sent.
    /// Dropping the future cancels the attempt.
    pub(crate) async fn forward(
        &self,
        server: ServerId,
        request: &ProxyRequest,
        timeout: Duration,
        start_before: Option<Instant>,
    ) -> AttemptResult {
        let Some(server) = self.host.server(server) else {
            return AttemptResult::without_response(Outcome::NotSent);
        };
        self.host.counters.attempts_started.add();
        let attempt = Attempt {
            host: &self.host,
            pools: &self.pools,
            server,
            request,
            timeout,
            start_before,
        };
        attempt.run().await
    }

    /// Executes the health checks that the balancer requests, until the channel is closed.
    pub(crate) async fn run_health_checks(self: Rc<Self>, requested: mpsc::Receiver<ServerId>) {
        let checker = HealthChecker::new(Rc::clone(&self.host), Rc::clone(&self.pools));
        checker.run(requested).await;
    }

    /// Closes the connections of servers that get no requests any more, for as long as the program
    /// runs.
    pub(crate) async fn run_pool_sweeps(self: Rc<Self>) {
        self.pools.run_sweeps().await;
    }
}
