//! The side of the servers: attempts and health checks over HTTP/1.1, and the connections that
//! carry them.
//!
//! Owns everything between one [`ProxyRequest`] that goes to one server and its one
//! [`AttemptResult`]: connection pools, the check before the first byte, how far a request was
//! written, the framing of responses, and what an exchange's end proves about the request's
//! execution. Which server, whether to retry, and what the client gets is decided elsewhere:
//! nothing here sends a request twice.
//!
//! Imports run one way, each file using only those ahead of it: `server_directory`,
//! `send_conditions`, `send_guard`, `write_progress`, `response_head`, `response_framing`,
//! `response_reader`, `connection_limiter`, `tracked_stream`, `connector`, `reuse_delay`,
//! `connection_pool`, `exchange`, then `attempt` and `health_check`, then this one.

mod attempt;
mod connection_limiter;
mod connection_pool;
mod connector;
mod exchange;
mod health_check;
mod response_framing;
mod response_head;
mod response_reader;
mod reuse_delay;
mod send_conditions;
mod send_guard;
mod server_directory;
mod tracked_stream;
mod write_progress;

use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{Outcome, ServerId};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::counters::Counters;
use crate::limits::Limits;
use crate::message::{AttemptResult, ProxyRequest};
use attempt::Attempt;
use connection_pool::ConnectionPools;
use health_check::HealthChecker;

pub(crate) use server_directory::ServerDirectory;

/// Sends requests to servers.
pub(crate) struct Upstream {
    servers: Rc<ServerDirectory>,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
    pools: Rc<ConnectionPools>,
}

impl Upstream {
    /// An upstream without a connection.
    pub(crate) fn new(
        servers: ServerDirectory,
        limits: Rc<Limits>,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        let pools = ConnectionPools::new(Rc::clone(&limits), Rc::clone(&counters));
        Rc::new(Self {
            servers: Rc::new(servers),
            pools: Rc::new(pools),
            limits,
            counters,
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
        let Some(server) = self.servers.find(server) else {
            return AttemptResult::without_response(Outcome::NotSent);
        };
        self.counters.attempts_started.inc();
        let attempt = Attempt {
            servers: &self.servers,
            limits: &self.limits,
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
        let checker = HealthChecker::new(
            Rc::clone(&self.servers),
            Rc::clone(&self.pools),
            Rc::clone(&self.limits),
            Rc::clone(&self.counters),
        );
        checker.run(requested).await;
    }

    /// Closes the connections of servers that get no requests any more, for as long as the program
    /// runs.
    pub(crate) async fn run_pool_sweeps(self: Rc<Self>) {
        self.pools.run_sweeps().await;
    }
}
