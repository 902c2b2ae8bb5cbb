//! The upstream side: attempts and health checks at servers over HTTP/1.1, and their connections.
//!
//! Responsible for everything between sending one [`ProxyRequest`] to one server and its
//! [`AttemptResult`]: connection pools, the check before the first byte, the write progress of a
//! request, the framing of responses, and whether the server may have executed a request that got
//! no response. Server selection, retries and the client's response are decided elsewhere: nothing
//! here sends a request twice.
//!
//! Each file imports only from those before it in this order: `server_directory`,
//! `send_conditions`, `send_guard`, `write_progress`, `response_head`, `response_end`,
//! `response_framing`, `response_reader`, `connection_limiter`, `tracked_stream`, `connector`,
//! `reuse_delay_queue`, `connection_pool`, `exchange`, then `attempt` and `health_check`, then
//! this file.

mod attempt;
mod connection_limiter;
mod connection_pool;
mod connector;
mod exchange;
mod health_check;
mod response_end;
mod response_framing;
mod response_head;
mod response_reader;
mod reuse_delay_queue;
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

/// Sends attempts and health checks to servers.
pub(crate) struct Upstream {
    servers: Rc<ServerDirectory>,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
    pools: Rc<ConnectionPools>,
}

impl Upstream {
    /// Creates an upstream without open connections.
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
    /// response. A retry whose first byte cannot be written before `start_before` is not sent.
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
    pub(crate) async fn run_health_checks(
        self: Rc<Self>,
        servers_to_check: mpsc::Receiver<ServerId>,
    ) {
        let checker = HealthChecker::new(
            Rc::clone(&self.servers),
            Rc::clone(&self.pools),
            Rc::clone(&self.limits),
            Rc::clone(&self.counters),
        );
        checker.run(servers_to_check).await;
    }

    /// Periodically closes the connections of servers that get no requests any more. Never returns.
    pub(crate) async fn run_pool_sweeps(self: Rc<Self>) {
        self.pools.run_sweeps().await;
    }
}
