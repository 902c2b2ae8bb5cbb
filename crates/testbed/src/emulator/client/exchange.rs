//! The exchange of one request and its response, on an idle connection or a new one.
//!
//! Owns the idle connections and the one repetition of a request that crossed the close of its
//! connection. Retries of a request that had an outcome belong to `arrival`.

use std::io;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::time::timeout_at;

use super::Clients;
use super::request::{OutgoingRequest, Response};
use crate::emulator::http::{HttpConnection, Message};
use crate::emulator::lock::lock;
use crate::event_log::{LogEvent, RequestOutcome};
use crate::scenario::{Micros, from_ms};
use crate::workload::Arrival;

/// An idle connection is used again within this: less than the time after which a sidecar may close
/// it.
const IDLE_LIMIT: Duration = Duration::from_millis(1_400);

/// The connections that wait for a next request, with the time since which they do.
#[derive(Default)]
pub(super) struct IdleConnections(Mutex<Vec<(Instant, HttpConnection)>>);

impl IdleConnections {
    fn take(&self) -> Option<HttpConnection> {
        let mut idle = lock(&self.0);
        idle.retain(|(since, _)| since.elapsed() < IDLE_LIMIT);
        idle.pop().map(|(_, connection)| connection)
    }

    fn put(&self, connection: HttpConnection) {
        lock(&self.0).push((Instant::now(), connection));
    }

    fn clear(&self) {
        lock(&self.0).clear();
    }
}

/// A connection for a request.
struct Opened {
    connection: HttpConnection,
    /// Whether it had a request before, so that its close may cross this one.
    reused: bool,
}

impl Clients {
    /// Sends a request and reads its response, until the client times out or disconnects.
    pub(super) async fn exchange(&self, arrival: &Arrival, request: &OutgoingRequest) -> Response {
        let until = self.shared.clock.instant(self.waits_until(request));
        timeout_at(until, self.exchange_without_limit(arrival, request))
            .await
            .unwrap_or(Response::none(RequestOutcome::Unanswered))
    }

    /// When the client gives up. A response on its way at the timeout is still read: whether it
    /// came in time is for the auditor to judge.
    fn waits_until(&self, request: &OutgoingRequest) -> Micros {
        let rules = &self.shared.scenario.rules;
        let grace = from_ms(rules.response_grace_ms + rules.emulator_extra_ms);
        request
            .disconnects_at
            .filter(|&at| at < request.due)
            .unwrap_or(request.due + 2 * grace)
    }

    /// A request whose connection was closed as it crossed is sent once more on a new one, unless
    /// its sidecar was ended in between: then what it did is not known.
    async fn exchange_without_limit(
        &self,
        arrival: &Arrival,
        request: &OutgoingRequest,
    ) -> Response {
        let incarnation = self.sidecars.incarnation(self.sidecar);
        let mut accepted = false;
        loop {
            let Ok(mut opened) = self.open().await else {
                return self.on_unreachable(request, accepted);
            };
            let sent = self
                .send(&mut opened.connection, arrival, request, &mut accepted)
                .await;
            let error = match sent {
                Ok(message) => return self.on_response(opened.connection, &message, request),
                Err(error) => error,
            };
            self.sidecars.wait_until_killed(self.sidecar).await;
            let same_process = self.sidecars.incarnation(self.sidecar) == incarnation;
            if !(opened.reused && is_close(&error) && same_process) {
                return Response::none(if accepted {
                    RequestOutcome::ConnectionLost
                } else {
                    RequestOutcome::Unreachable
                });
            }
            self.idle.clear();
        }
    }

    async fn open(&self) -> io::Result<Opened> {
        if let Some(connection) = self.idle.take() {
            return Ok(Opened {
                connection,
                reused: true,
            });
        }
        let stream = TcpStream::connect(self.address).await?;
        Ok(Opened {
            connection: HttpConnection::new(stream),
            reused: false,
        })
    }

    /// Writes the request and reads the response; `accepted` is set once the request is out.
    async fn send(
        &self,
        connection: &mut HttpConnection,
        arrival: &Arrival,
        request: &OutgoingRequest,
        accepted: &mut bool,
    ) -> io::Result<Message> {
        let now = self.shared.clock.now();
        let text = request.text(&self.shared.scenario, arrival, now);
        connection.write(&text).await?;
        if !*accepted {
            *accepted = true;
            self.shared.record(LogEvent::RequestAccepted {
                request: request.number,
                arrival: request.arrival,
                sidecar: self.sidecar,
                class: arrival.class,
                due: request.due,
            });
        }
        connection.read_response().await
    }

    /// No sidecar listens. A request that was out before has crossed the close of its connection.
    fn on_unreachable(&self, request: &OutgoingRequest, accepted: bool) -> Response {
        if accepted {
            self.shared.recorder.on_request_not_accepted(request.number);
        }
        Response::none(RequestOutcome::Unreachable)
    }

    /// Keeps the connection for a next request, unless the response closes it.
    fn on_response(
        &self,
        connection: HttpConnection,
        message: &Message,
        request: &OutgoingRequest,
    ) -> Response {
        let closes = message
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closes {
            self.idle.put(connection);
        }
        Response::of(message, request.number)
    }
}

fn is_close(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionReset | UnexpectedEof)
}
