//! Sends one request over a pooled connection and reads its response; derives the outcome if there
//! is no response.

use std::rc::Rc;

use actix_http::HttpMessage as _;
use arrowstand_balancer::Outcome;
use awc::ClientRequest;
use awc::http::header::{CONTENT_LENGTH, HeaderMap};
use awc::http::{Method, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;

use super::connection_pool::ConnectionPools;
use super::reuse_delay_queue::AwcResponse;
use super::write_progress::{CURRENT_WRITE_PROGRESS, WriteProgress};
use crate::message::SlicedBody;

/// A response that was read to its end.
pub(super) struct CompleteResponse {
    /// The status of the final response.
    pub status: StatusCode,
    headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl CompleteResponse {
    /// The value of a header; `None` if it is missing or not visible ASCII text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// There is no complete response: the connection failed, or the response violated HTTP or
/// exceeded a limit. Only the [`WriteProgress`] shows how much of the request was written.
pub(super) struct ExchangeFailed;

/// Sends a request and reads its response to the end. Records the bytes written of the request in
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
        let length = nonzero_content_length(&response);
        let body = read_body(&mut response, length, max_body_bytes).await?;
        // If the connection ends early, awc ends the body without an error even if bytes are
        // missing; a truncated body must not reach the client as complete.
        if is_self_delimiting(&response) && progress.connection_ended() {
            return Err(ExchangeFailed);
        }
        let complete = CompleteResponse {
            status: response.status(),
            headers: response.headers().clone(),
            body,
        };
        if length.is_some() {
            pools.return_connection_after_delay(response);
        }
        Ok(complete)
    };
    CURRENT_WRITE_PROGRESS
        .scope(Rc::clone(progress), exchange)
        .await
}

async fn send(request: ClientRequest, body: Bytes) -> Result<AwcResponse, ExchangeFailed> {
    let has_no_body = body.is_empty() && request.get_method() == Method::GET;
    let request = request.no_decompress();
    let response = if has_no_body {
        request.send().await
    } else {
        request.send_body(SlicedBody::new(body, ())).await
    };
    response.map_err(|_| ExchangeFailed)
}

/// Reads the body up to `length`, or to its end if `length` is `None`.
async fn read_body(
    response: &mut AwcResponse,
    length: Option<usize>,
    max_body_bytes: usize,
) -> Result<Bytes, ExchangeFailed> {
    let mut body = BytesMut::with_capacity(length.unwrap_or_default().min(max_body_bytes));
    while length.is_none_or(|length| body.len() < length) {
        let Some(chunk) = response.next().await else {
            break;
        };
        let chunk = chunk.map_err(|_| ExchangeFailed)?;
        // The length may be unknown in advance, so the limit is checked for each chunk.
        if body.len() + chunk.len() > max_body_bytes {
            return Err(ExchangeFailed);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// The value of `Content-Length`; `None` if it is missing, invalid or 0.
fn nonzero_content_length(response: &AwcResponse) -> Option<usize> {
    let value = response.headers().get(CONTENT_LENGTH)?;
    let length = value.to_str().ok()?.parse().ok()?;
    (length > 0).then_some(length)
}

/// True if the head determines the end of the body independently of the end of the connection.
fn is_self_delimiting(response: &AwcResponse) -> bool {
    response.headers().contains_key(CONTENT_LENGTH) || response.chunked().unwrap_or(true)
}

/// The outcome of a request without a response. An outcome that implies that the request was never
/// executed is returned only if that is proven; a fully written request gets
/// `outcome_if_fully_written`.
pub(super) fn outcome_without_response(
    progress: &WriteProgress,
    outcome_if_fully_written: Outcome,
) -> Outcome {
    if progress.is_not_sent() {
        Outcome::NotSent
    } else if progress.is_fully_written() {
        outcome_if_fully_written
    } else {
        Outcome::ConnectFailed
    }
}
