//! One exchange of a soak's client: writes a request, waits for its response and records the end.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout};

use super::audit::LATE_RESPONSE_SLACK;
use super::job_server::response_body;
use super::record::{ConnectionUse, EndedRequest, Record, RequestEnd, RequestId, Sender};
use super::request::{RequestClass, sized_head};
use crate::emulator::http::{HttpConnection, Message};

/// How much longer than its response may take a client waits, so that a late response is told from
/// none.
const WAIT_AFTER_SLACK: Duration = Duration::from_secs(2);

/// A request that is about to be written.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutgoingRequest {
    pub(super) id: RequestId,
    pub(super) sender: Sender,
    pub(super) connection: ConnectionUse,
    pub(super) class: RequestClass,
    pub(super) timeout: Duration,
    pub(super) body_bytes: usize,
}

/// Whether the connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It may.
    Open,
    /// It has ended, or will.
    Ended,
}

/// Writes the request and records its end, if its last byte could be written.
pub(super) async fn exchange(
    connection: &mut HttpConnection,
    request: OutgoingRequest,
    record: &Arc<Record>,
) -> ConnectionState {
    let started_at = Instant::now();
    let head = sized_head(
        request.class,
        request.id,
        request.timeout,
        request.body_bytes,
    );
    let text = match request.class {
        RequestClass::Idempotent => head,
        RequestClass::NonIdempotent => head + &"b".repeat(request.body_bytes),
    };
    if connection.write(&text).await.is_err() {
        return ConnectionState::Ended;
    }
    let written_at = Instant::now();
    let wait = request.timeout + LATE_RESPONSE_SLACK + WAIT_AFTER_SLACK;
    let response = timeout(wait, connection.read_response()).await;
    let state = match &response {
        Ok(Ok(message)) if !is_last(message) => ConnectionState::Open,
        _ => ConnectionState::Ended,
    };
    let end = request_end(response, request.id);
    record.on_request_ended(EndedRequest {
        id: request.id,
        sender: request.sender,
        connection: request.connection,
        class: request.class,
        timeout: request.timeout,
        started_at,
        written_at,
        ended_at: Instant::now(),
        end,
    });
    state
}

/// How a request ended, from what the wait for its response came to.
fn request_end(response: Result<io::Result<Message>, Elapsed>, id: RequestId) -> RequestEnd {
    match response {
        Ok(Ok(message)) => RequestEnd::Answered {
            status: message.status,
            is_own: is_own(&message, id),
        },
        Ok(Err(error)) => RequestEnd::Closed(error.kind()),
        Err(_) => RequestEnd::Unanswered,
    }
}

fn is_last(response: &Message) -> bool {
    response
        .header("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

fn is_own(response: &Message, id: RequestId) -> bool {
    response.status != 200 || response.body.starts_with(response_body(id).as_bytes())
}
