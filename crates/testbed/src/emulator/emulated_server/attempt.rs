//! The life of an attempt at an emulated server: received, executed or rejected, responded to or
//! lost.
//!
//! Owns the order of these steps and the bytes of each response. Whether an attempt is accepted,
//! and how long it takes, is decided by the process and its model.

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

/// How long an attempt without a timeout may wait, in microseconds: ten minutes, beyond the length
/// of any run.
const DEFAULT_TIMEOUT: Micros = 600_000_000;
/// A response whose head cannot be parsed; its connection is of no further use.
const MALFORMED_RESPONSE: &str = "HTTP/1.1 2oo OK\r\nContent-Length: -7\r\n\r\n";
/// Header field that promises that a rejected attempt was not executed.
const NOT_PROCESSED_HEADER: &str = "X-Not-Processed: 1\r\n";

/// An attempt as its request says it.
struct Attempt {
    request: RequestNumber,
    /// Expected work.
    work: f64,
    /// Index of the request class.
    class: ClassIndex,
    /// How long it may wait from its first byte.
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
    /// With a response.
    Finished(ExecutionResult),
    /// Dropped without being executed, or gone with the process.
    Lost,
    /// Its sidecar closed the connection.
    ConnectionClosed,
}

impl EmulatedServer {
    /// What is to be sent for an attempt.
    ///
    /// # Errors
    /// Where its connection ends.
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

    /// Cancels an attempt whose connection was closed; the error that ends the connection here too.
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

    /// Round trips of the handshake of a new connection.
    fn handshake_delay(&self, incoming: &IncomingRequest) -> Micros {
        if !incoming.new_connection {
            return 0;
        }
        let round_trips = lock(&self.process).machine_type().handshake_rtts;
        micros_from_f64(round_trips * 2.0 * f64_from_u64(incoming.one_way_delay))
    }

    /// Asks the process to accept an attempt; nothing where it is rejected.
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

    /// Responds to an attempt that was executed, unless a fault prevents it.
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

/// The response to an attempt that was executed.
fn execution_response(
    request: RequestNumber,
    server: ServerIndex,
    result: ExecutionResult,
    outcome: &ResponseOutcome,
) -> String {
    if outcome.malformed {
        return MALFORMED_RESPONSE.to_owned();
    }
    let load = outcome
        .reported_in_flight
        .map_or(String::new(), |in_flight| {
            let load = ServerLoad {
                in_flight: f64_from_count(in_flight),
                error_rate: None,
                queued: None,
            };
            format!("X-Server-Load: {load}\r\n")
        });
    if result == ExecutionResult::Error {
        return format_response("500 Internal Server Error", &load, "");
    }
    let headers = format!("Content-Type: text/plain\r\n{load}");
    let body = format!("done {request} at {server}\n");
    format_response("200 OK", &headers, &body)
}

/// Waits for the end of an execution, or of its connection.
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
