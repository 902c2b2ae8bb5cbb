//! Health checks: requests a server's load report when the balancer asks for a check.

use std::rc::Rc;

use arrowstand_balancer::{LoadReport, Outcome, ServerId};
use arrowstand_platform::load_report::parse_load_report;
use awc::http::StatusCode;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time;

use super::connection_pool::ConnectionPools;
use super::exchange::{CompleteResponse, ExchangeFailed, exchange, outcome_without_response};
use super::server_directory::ServerDirectory;
use super::write_progress::WriteProgress;
use crate::counters::Counters;
use crate::host::Server;
use crate::limits::Limits;

/// The path at which a server reports its load.
const LOAD_PATH: &str = "/status/load";

/// How a health check ended.
struct HealthCheckResult {
    outcome: Outcome,
    load_report: Option<LoadReport>,
}

impl HealthCheckResult {
    fn without_report(outcome: Outcome) -> Self {
        Self {
            outcome,
            load_report: None,
        }
    }
}

/// Executes health checks and reports their results: exactly one for each check that the balancer
/// requests, since the balancer does not check a server again before it gets the result.
pub(super) struct HealthChecker {
    servers: Rc<ServerDirectory>,
    pools: Rc<ConnectionPools>,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
}

impl HealthChecker {
    /// Creates a health checker that reports to `servers` and uses the connections of `pools`.
    pub(super) fn new(
        servers: Rc<ServerDirectory>,
        pools: Rc<ConnectionPools>,
        limits: Rc<Limits>,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        Rc::new(Self {
            servers,
            pools,
            limits,
            counters,
        })
    }

    /// Starts each requested health check without waiting for earlier ones, until the channel is
    /// closed.
    pub(super) async fn run(self: Rc<Self>, mut servers_to_check: mpsc::Receiver<ServerId>) {
        while let Some(id) = servers_to_check.recv().await {
            match self.servers.find(id) {
                Some(server) => Rc::clone(&self).start(server),
                None => self.report(id, HealthCheckResult::without_report(Outcome::NotSent)),
            }
        }
    }

    fn start(self: Rc<Self>, server: Rc<Server>) {
        self.counters.health_checks_sent.inc();
        actix_rt::spawn(async move {
            let result = self.check(&server).await;
            if result.outcome != Outcome::Served {
                self.counters.health_checks_failed.inc();
            }
            self.report(server.id, result);
        });
    }

    async fn check(&self, server: &Server) -> HealthCheckResult {
        let uri = format!("http://{}{LOAD_PATH}", server.address());
        let request = self.pools.client_for(server).get(uri);
        // No guard: a health check is no work for the server, and may go to a draining server.
        let progress = WriteProgress::new(None, 0);
        let limits = &self.limits;
        let max_body_bytes = limits.max_body_bytes;
        let exchange = exchange(
            &self.pools,
            request,
            Bytes::new(),
            &progress,
            max_body_bytes,
        );
        match time::timeout(limits.upstream.health_check_timeout, exchange).await {
            Ok(Ok(response)) => self.on_response(&response),
            Ok(Err(ExchangeFailed)) => on_exchange_failed(&progress),
            Err(_elapsed) => HealthCheckResult::without_report(Outcome::TimedOut),
        }
    }

    fn on_response(&self, response: &CompleteResponse) -> HealthCheckResult {
        let text = std::str::from_utf8(&response.body).unwrap_or_default();
        let load_report = parse_load_report(text);
        if load_report.is_none() && !text.trim().is_empty() {
            self.counters.load_reports_skipped.inc();
        }
        let outcome = match response.status {
            StatusCode::OK => Outcome::Served,
            _ => Outcome::Rejected,
        };
        HealthCheckResult {
            outcome,
            load_report,
        }
    }

    fn report(&self, server: ServerId, result: HealthCheckResult) {
        self.servers
            .on_health_check_ended(server, result.outcome, result.load_report);
    }
}

fn on_exchange_failed(progress: &WriteProgress) -> HealthCheckResult {
    HealthCheckResult::without_report(outcome_without_response(progress, Outcome::Reset))
}
