//! One request and its response over a pooled connection, and what a missing response proves.

use std::rc::Rc;

use actix_http::HttpMessage as _;
use arrowstand_balancer::Outcome;
use awc::ClientRequest;
use awc::http::header::{CONTENT_LENGTH, HeaderMap};
use awc::http::{Method, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;

use super::connection_pool::ConnectionPools;
use super::reuse_delay::FinishedResponse;
use super::write_progress::{CURRENT_WRITE_PROGRESS, WriteProgress};

/// A response that was read to its end.
pub(super) struct CompleteResponse {
    /// The status of the final response.
    pub status: StatusCode,
    headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl CompleteResponse {
    /// A header's value, where it is text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// There is no complete response: the connection failed, or the response broke the protocol or a
/// limit. How far the request went is known to its [`WriteProgress`] alone.
pub(super) struct ExchangeFailed;

/// Sends a request and reads its response to the end. What is written of it is recorded in
/// `progress`.
///
/// # Errors
/// There is no complete response, or its body is longer than `max_body_bytes`.
pub(super) async fn exchange(
    pools: &ConnectionPools,
    request: ClientRequest,
    body: Bytes,
    progress: &Rc<WriteProgress>,
    max_body_bytes: usize,
) -> Result<CompleteResponse, ExchangeFailed> {
    let exchange = async {
        let mut response = send(request, body).await?;
        let length = announced_length(&response);
        let body = read_body(&mut response, length, max_body_bytes).await?;
        // awc ends a body at the end of its connection without an error, however much of it was
        // announced; a part must not reach the client as the whole.
        if is_end_announced(&response) && progress.connection_ended() {
            return Err(ExchangeFailed);
        }
        let complete = CompleteResponse {
            status: response.status(),
            headers: response.headers().clone(),
            body,
        };
        if length.is_some() {
            pools.on_response_finished(response);
        }
        Ok(complete)
    };
    CURRENT_WRITE_PROGRESS
        .scope(Rc::clone(progress), exchange)
        .await
}

async fn send(request: ClientRequest, body: Bytes) -> Result<FinishedResponse, ExchangeFailed> {
    let has_no_body = body.is_empty() && request.get_method() == Method::GET;
    let request = request.no_decompress();
    let response = if has_no_body {
        request.send().await
    } else {
        request.send_body(body).await
    };
    response.map_err(|_| ExchangeFailed)
}

/// Reads up to the announced length, if there is one, and otherwise to the end.
async fn read_body(
    response: &mut FinishedResponse,
    length: Option<usize>,
    max_body_bytes: usize,
) -> Result<Bytes, ExchangeFailed> {
    let mut body = BytesMut::new();
    while length.is_none_or(|length| body.len() < length) {
        let Some(chunk) = response.next().await else {
            break;
        };
        let chunk = chunk.map_err(|_| ExchangeFailed)?;
        // The length may not have been announced, so it is bounded as the body comes.
        if body.len() + chunk.len() > max_body_bytes {
            return Err(ExchangeFailed);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// The length of a body that is announced and not empty.
fn announced_length(response: &FinishedResponse) -> Option<usize> {
    let value = response.headers().get(CONTENT_LENGTH)?;
    let length = value.to_str().ok()?.parse().ok()?;
    (length > 0).then_some(length)
}

/// True where the head says how the body ends, other than with the connection.
fn is_end_announced(response: &FinishedResponse) -> bool {
    response.headers().contains_key(CONTENT_LENGTH) || response.chunked().unwrap_or(true)
}

/// The outcome of a request without a response. That it was never executed is claimed only where it
/// is proven; a request that was written to its last byte ends as `if_complete`.
pub(super) fn outcome_without_response(progress: &WriteProgress, if_complete: Outcome) -> Outcome {
    if progress.is_not_sent() {
        Outcome::NotSent
    } else if progress.is_fully_written() {
        if_complete
    } else {
        Outcome::ConnectFailed
    }
}
