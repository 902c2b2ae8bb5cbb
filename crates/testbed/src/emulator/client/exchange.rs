//! Sends one request and reads its response, on an idle connection or a new one.
//!
//! Keeps the pool of idle connections, and sends a request again if the sidecar closed the reused
//! connection while the request was in transit. Retries after an outcome are made by `arrival`.

use std::io;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::time::timeout_at;

use super::SidecarClients;
use super::request::{OutgoingRequest, Response};
use crate::emulator::http::{HttpConnection, Message};
use crate::emulator::lock::lock;
use crate::event_log::{LogEvent, RequestOutcome};
use crate::scenario::{Micros, from_ms};
use crate::workload::Arrival;

/// Idle connections are reused for up to this time, which is shorter than the time after which a
/// sidecar may close them.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Connections without an open request, with the time at which each became idle.
#[derive(Default)]
pub(super) struct IdleConnections(Mutex<Vec<(Instant, HttpConnection)>>);

impl IdleConnections {
    fn take(&self) -> Option<HttpConnection> {
        let mut idle = lock(&self.0);
        idle.retain(|(since, _)| since.elapsed() < IDLE_TIMEOUT);
        idle.pop().map(|(_, connection)| connection)
    }

    fn put(&self, connection: HttpConnection) {
        lock(&self.0).push((Instant::now(), connection));
    }

    fn clear(&self) {
        lock(&self.0).clear();
    }
}

/// A connection on which a request can be sent.
struct AcquiredConnection {
    connection: HttpConnection,
    /// Whether it carried an earlier request: the sidecar may then close it while the next request
    /// is in transit.
    reused: bool,
}

impl SidecarClients {
    /// Sends a request and reads its response, until the client times out or disconnects.
    pub(super) async fn exchange(&self, arrival: &Arrival, request: &OutgoingRequest) -> Response {
        let wait_end = self.shared.clock.instant(self.response_wait_end(request));
        timeout_at(wait_end, self.exchange_without_timeout(arrival, request))
            .await
            .unwrap_or(Response::without_response(RequestOutcome::Unanswered))
    }

    /// When the client stops waiting for a response: at its disconnection, or after its timeout
    /// and twice the grace that the auditor allows. A late response is still read, as the auditor
    /// decides whether it came in time.
    fn response_wait_end(&self, request: &OutgoingRequest) -> Micros {
        let rules = &self.shared.scenario.rules;
        let grace = from_ms(rules.response_grace_ms + rules.emulator_extra_ms);
        request
            .disconnects_at
            .filter(|&at| at < request.times_out_at)
            .unwrap_or(request.times_out_at + 2 * grace)
    }

    /// Sends a request again on another connection if the sidecar closed a reused one while the
    /// request was in transit. If the sidecar process ended in between, the request isn't sent
    /// again, because the old process may have acted on it.
    async fn exchange_without_timeout(
        &self,
        arrival: &Arrival,
        request: &OutgoingRequest,
    ) -> Response {
        let incarnation = self.sidecars.incarnation(self.sidecar);
        let mut accepted = false;
        loop {
            let Ok(mut acquired) = self.acquire_connection().await else {
                return self.on_connect_failed(request, accepted);
            };
            let result = self
                .send(&mut acquired.connection, arrival, request, &mut accepted)
                .await;
            let error = match result {
                Ok(message) => return self.on_response(acquired.connection, &message, request),
                Err(error) => error,
            };
            self.sidecars.wait_for_kill_in_progress(self.sidecar).await;
            let same_process = self.sidecars.incarnation(self.sidecar) == incarnation;
            if !(acquired.reused && is_connection_closed(&error) && same_process) {
                return Response::without_response(if accepted {
                    RequestOutcome::ConnectionLost
                } else {
                    RequestOutcome::Unreachable
                });
            }
            self.idle_connections.clear();
        }
    }

    async fn acquire_connection(&self) -> io::Result<AcquiredConnection> {
        if let Some(connection) = self.idle_connections.take() {
            return Ok(AcquiredConnection {
                connection,
                reused: true,
            });
        }
        let stream = TcpStream::connect(self.address).await?;
        Ok(AcquiredConnection {
            connection: HttpConnection::new(stream),
            reused: false,
        })
    }

    /// Writes the request and reads the response. After the first write of the request, sets
    /// `accepted` and records the request as accepted.
    async fn send(
        &self,
        connection: &mut HttpConnection,
        arrival: &Arrival,
        request: &OutgoingRequest,
        accepted: &mut bool,
    ) -> io::Result<Message> {
        let now = self.shared.clock.now();
        let message = request.encode(&self.shared.scenario, arrival, now);
        connection.write(&message).await?;
        if !*accepted {
            *accepted = true;
            self.shared.record(LogEvent::RequestAccepted {
                request: request.number,
                arrival: request.arrival,
                sidecar: self.sidecar,
                class: arrival.class,
                due: request.times_out_at,
            });
        }
        connection.read_response().await
    }

    /// Handles a failed connect. A request that was written before was lost in transit when its
    /// connection closed, and is recorded as not accepted.
    fn on_connect_failed(&self, request: &OutgoingRequest, accepted: bool) -> Response {
        if accepted {
            self.shared.recorder.mark_not_accepted(request.number);
        }
        Response::without_response(RequestOutcome::Unreachable)
    }

    /// Returns the connection to the pool, unless the response closes it.
    fn on_response(
        &self,
        connection: HttpConnection,
        message: &Message,
        request: &OutgoingRequest,
    ) -> Response {
        let closes_connection = message
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closes_connection {
            self.idle_connections.put(connection);
        }
        Response::from_message(message, request.number)
    }
}

fn is_connection_closed(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionReset | UnexpectedEof)
}
