//! The usual clients: some open a connection for each request, others keep theirs for as long as it
//! stays open, up to the end of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::exchange::{ConnectionState, OutgoingRequest, exchange};
use super::plan::Plan;
use super::process::Sidecar;
use super::record::{ConnectionUse, Record, Sender};
use super::request::RequestClass;
use crate::emulator::http::HttpConnection;
use crate::random::{RandomStream, StreamId};

/// Clients that keep their connections.
const KEPT_CONNECTIONS: usize = 8;
/// Pause of a client that was refused a connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Length of the body of a usual request.
const BODY_BYTES: usize = 212;
/// Shortest and longest time for which a client waits, in milliseconds.
const TIMEOUTS_MS: (f64, f64) = (400.0, 1_500.0);
/// Share of the requests that must run once at most.
const NON_IDEMPOTENT_SHARE: f64 = 0.5;

/// What the usual clients share.
struct Shared {
    sidecar: Arc<Sidecar>,
    record: Arc<Record>,
    is_over: AtomicBool,
}

/// The running usual clients.
pub(super) struct UsualClients {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl UsualClients {
    /// Starts sending.
    pub(super) fn start(plan: &Plan, sidecar: &Arc<Sidecar>, record: &Arc<Record>) -> Self {
        let shared = Arc::new(Shared {
            sidecar: Arc::clone(sidecar),
            record: Arc::clone(record),
            is_over: AtomicBool::new(false),
        });
        let kept_pause = Duration::from_secs_f64(KEPT_CONNECTIONS as f64 / plan.usual_rate);
        let mut tasks = JoinSet::new();
        tasks.spawn(send_on_new_connections(Arc::clone(&shared), plan.clone()));
        for client in 0..KEPT_CONNECTIONS {
            let random = RandomStream::new(plan.seed, StreamId::Clients, 1 + client);
            tasks.spawn(send_on_kept_connection(
                Arc::clone(&shared),
                random,
                kept_pause,
            ));
        }
        Self { shared, tasks }
    }

    /// Sends no further request.
    pub(super) fn stop_sending(&self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
    }

    /// Waits until all requests have ended.
    pub(super) async fn finish(mut self) {
        while self.tasks.join_next().await.is_some() {}
    }
}

impl Shared {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn draw_request(
        &self,
        random: &mut RandomStream,
        connection: ConnectionUse,
    ) -> OutgoingRequest {
        let class = if random.bernoulli(NON_IDEMPOTENT_SHARE) {
            RequestClass::NonIdempotent
        } else {
            RequestClass::Idempotent
        };
        let timeout_ms = random.uniform_in(TIMEOUTS_MS.0, TIMEOUTS_MS.1);
        OutgoingRequest {
            id: self.record.next_id(),
            sender: Sender::Usual,
            connection,
            class,
            timeout: Duration::from_millis(timeout_ms as u64),
            body_bytes: BODY_BYTES,
        }
    }

    /// Opens a connection; `None` if the sidecar refuses it, or a client must not connect now.
    async fn connect(&self) -> Option<HttpConnection> {
        if !self.sidecar.may_connect() {
            return None;
        }
        let stream = TcpStream::connect(self.sidecar.address).await.ok()?;
        Some(HttpConnection::new(stream))
    }
}

/// Sends requests at random times, each on a connection of its own, until the end of the load.
async fn send_on_new_connections(shared: Arc<Shared>, plan: Plan) {
    let mut random = RandomStream::new(plan.seed, StreamId::Arrivals, 0);
    let mut requests = JoinSet::new();
    let mut next_at = Instant::now();
    while !shared.is_over() {
        tokio::time::sleep_until(next_at).await;
        next_at += Duration::from_secs_f64(random.exponential() / plan.usual_rate);
        let request = shared.draw_request(&mut random, ConnectionUse::New);
        let client = Arc::clone(&shared);
        requests.spawn(async move {
            if let Some(mut connection) = client.connect().await {
                exchange(&mut connection, request, &client.record).await;
            }
        });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
}

/// Sends one request after the other on one connection, and opens another once it has ended.
async fn send_on_kept_connection(shared: Arc<Shared>, mut random: RandomStream, pause: Duration) {
    while !shared.is_over() {
        let Some(mut connection) = shared.connect().await else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let mut connection_use = ConnectionUse::New;
        while !shared.is_over() {
            let request = shared.draw_request(&mut random, connection_use);
            let state = exchange(&mut connection, request, &shared.record).await;
            tokio::time::sleep(pause.mul_f64(random.exponential())).await;
            if state == ConnectionState::Ended {
                break;
            }
            connection_use = ConnectionUse::Reused;
        }
    }
}
