//! Handles an attempt at an emulated server, from its request to its response.
//!
//! An attempt is executed or rejected, and then responded to or lost. The server's process and its
//! model decide whether an attempt is accepted and how long it takes.

use std::io;

use arrowstand_platform::ServerLoad;
use tokio::sync::oneshot;

use super::EmulatedServer;
use super::admission::{
    AcceptedAttempt, Admission, AdmissionRequest, ExecutionResult, ResponseOutcome,
};
use super::connection::{IncomingRequest, Reply};
use crate::conversion::{f64_from_count, f64_from_u64, micros_from_f64};
use crate::emulator::clock::sleep_for;
use crate::emulator::http::{HttpConnection, Message, format_response};
use crate::emulator::lock::lock;
use crate::event_log::LogEvent;
use crate::index::{ClassIndex, RequestNumber, ServerIndex};
use crate::scenario::Micros;

/// Timeout of an attempt whose request has none, in microseconds: ten minutes, longer than any run.
const DEFAULT_TIMEOUT: Micros = 600_000_000;
/// A response whose head cannot be parsed, so that the peer has to close the connection.
const MALFORMED_RESPONSE: &str = "HTTP/1.1 2oo OK\r\nContent-Length: -7\r\n\r\n";
/// Header field of a rejection, which tells that the attempt was not executed.
const NOT_PROCESSED_HEADER: &str = "X-Not-Processed: 1\r\n";

/// An attempt, as parsed from its request.
struct Attempt {
    request: RequestNumber,
    /// Expected work, in microseconds of a standard core.
    work: f64,
    class: ClassIndex,
    /// How long it may wait, from the first byte of its request.
    timeout: Option<Micros>,
}

impl Attempt {
    fn parse(message: &Message) -> Option<Self> {
        let id = message.header("x-request-id")?;
        let class = message.query_parameter("c");
        let timeout = message.header("x-timeout");
        Some(Self {
            request: RequestNumber::from_request_id(id)?,
            work: message.query_parameter("w")?.parse().ok()?,
            class: ClassIndex::from_position(
                class.and_then(|class| class.parse().ok()).unwrap_or(0),
            ),
            timeout: timeout.and_then(|timeout| timeout.strip_suffix('u')?.parse().ok()),
        })
    }
}

/// How the execution of an attempt ended.
enum ExecutionEnd {
    /// It was executed to its end.
    Finished(ExecutionResult),
    /// It expired before it started, or the process stopped.
    Lost,
    /// The sidecar closed the connection.
    ConnectionClosed,
}

impl EmulatedServer {
    /// Handles an attempt and returns the reply to it.
    ///
    /// # Errors
    /// If the connection of the attempt ends.
    pub(super) async fn on_attempt(
        &self,
        connection: &mut HttpConnection,
        message: &Message,
        incoming: &IncomingRequest,
    ) -> io::Result<Reply> {
        let Some(attempt) = Attempt::parse(message) else {
            return Ok(Reply::Send(format_response("400 Bad Request", "", "")));
        };
        self.record_attempt_started(&attempt, incoming);
        sleep_for(incoming.one_way_delay + self.handshake_delay(incoming)).await;
        if self.is_silent() {
            self.shared.on_attempt_blackholed();
            return Ok(Reply::NoResponse);
        }
        let Some(accepted) = self.try_accept(&attempt, incoming) else {
            sleep_for(incoming.one_way_delay).await;
            let rejection = format_response("503 Service Unavailable", NOT_PROCESSED_HEADER, "");
            return Ok(Reply::Send(rejection));
        };
        let job_id = accepted.job_id;
        match wait_for_execution(connection, accepted.result).await {
            ExecutionEnd::Finished(result) => self.respond(&attempt, result, incoming).await,
            ExecutionEnd::Lost => Ok(Reply::NoResponse),
            ExecutionEnd::ConnectionClosed => Err(self.cancel(job_id, incoming).await),
        }
    }

    /// Cancels an attempt whose connection the sidecar has closed, and returns the error that ends
    /// the connection on this side.
    async fn cancel(&self, job_id: u64, incoming: &IncomingRequest) -> io::Error {
        sleep_for(incoming.one_way_delay).await;
        self.update_process(|process, now| process.cancel(now, job_id));
        io::ErrorKind::ConnectionAborted.into()
    }

    fn record_attempt_started(&self, attempt: &Attempt, incoming: &IncomingRequest) {
        self.shared.record_at(
            incoming.first_byte_at,
            LogEvent::AttemptStarted {
                request: attempt.request,
                sidecar: incoming.sidecar,
                server: incoming.server,
                cross_zone: !incoming.same_zone,
            },
        );
    }

    /// Time that the handshake of a new connection takes on the network; 0 on an open connection.
    fn handshake_delay(&self, incoming: &IncomingRequest) -> Micros {
        if !incoming.new_connection {
            return 0;
        }
        let round_trips = lock(&self.process).machine_type().handshake_rtts;
        micros_from_f64(round_trips * 2.0 * f64_from_u64(incoming.one_way_delay))
    }

    /// Asks the process to accept an attempt; `None` if it is rejected.
    fn try_accept(&self, attempt: &Attempt, incoming: &IncomingRequest) -> Option<AcceptedAttempt> {
        let classes = &self.shared.scenario.class;
        let request = AdmissionRequest {
            request: attempt.request,
            work: attempt.work,
            noise: classes
                .get(attempt.class.index())
                .map_or(0.0, |class| class.noise),
            new_connection: incoming.new_connection,
            deadline: incoming
                .first_byte_at
                .saturating_add(attempt.timeout.unwrap_or(DEFAULT_TIMEOUT)),
        };
        self.update_process(|process, now| {
            let admission = process.try_accept(now, request);
            self.record_attempt_received(now, attempt.request, incoming.server, &admission);
            admission.accepted
        })
    }

    fn record_attempt_received(
        &self,
        at: Micros,
        request: RequestNumber,
        server: ServerIndex,
        admission: &Admission,
    ) {
        let received = LogEvent::AttemptReceived {
            request,
            server,
            work: admission.work,
            capacity: admission.capacity,
            cold: admission.cold,
        };
        self.shared.record_at(at, received);
        if admission.accepted.is_none() {
            let rejected = LogEvent::AttemptRejected { request, server };
            self.shared.record_at(at, rejected);
        }
    }

    /// Responds to an executed attempt, unless a fault prevents the response.
    async fn respond(
        &self,
        attempt: &Attempt,
        result: ExecutionResult,
        incoming: &IncomingRequest,
    ) -> io::Result<Reply> {
        let outcome = self.update_process(|process, now| process.draw_response_outcome(now));
        sleep_for(incoming.one_way_delay).await;
        if self.is_silent() {
            return Ok(Reply::NoResponse);
        }
        if outcome.reset {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(Reply::Send(execution_response(
            attempt.request,
            incoming.server,
            result,
            &outcome,
        )))
    }
}

/// Formats the response to an executed attempt.
fn execution_response(
    request: RequestNumber,
    server: ServerIndex,
    result: ExecutionResult,
    outcome: &ResponseOutcome,
) -> String {
    if outcome.malformed {
        return MALFORMED_RESPONSE.to_owned();
    }
    let reported = outcome.reported_in_flight;
    let load_header = reported.map_or(String::new(), |in_flight| {
        let load = ServerLoad {
            in_flight: f64_from_count(in_flight),
            error_rate: None,
            queued: None,
        };
        format!("X-Server-Load: {load}\r\n")
    });
    if result == ExecutionResult::Error {
        return format_response("500 Internal Server Error", &load_header, "");
    }
    let headers = format!("Content-Type: text/plain\r\n{load_header}");
    let body = format!("done {request} at {server}\n");
    format_response("200 OK", &headers, &body)
}

/// Waits for the result of an execution, or until its connection is closed.
async fn wait_for_execution(
    connection: &mut HttpConnection,
    result: oneshot::Receiver<ExecutionResult>,
) -> ExecutionEnd {
    tokio::select! {
        received = result => match received {
            Ok(result) => ExecutionEnd::Finished(result),
            Err(_) => ExecutionEnd::Lost,
        },
        () = connection.closed() => ExecutionEnd::ConnectionClosed,
    }
}
