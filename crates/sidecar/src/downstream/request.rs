//! Reads a client's request completely, validates it, and converts it to the proxy's request.

use actix_http::{HttpMessage as _, Payload as BodyStream, Request};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use tokio::time::Instant;

use super::connection::ClientConnection;
use super::malformed_request::MalformedRequest;
use super::request_headers::{RequestHeaders, content_length, forwarded_headers};
use super::request_memory::{MemoryReservation, OverMemory};
use super::service_context::ServiceContext;
use crate::message::{ClientPresence, Payload, ProxyRequest};

const METHODS: [&str; 2] = ["GET", "POST"];

/// The parsed head of a request.
struct RequestHead {
    headers: RequestHeaders,
    method: String,
    target: String,
    /// The declared length of the body, 0 if none is declared.
    body_length: usize,
    /// The headers that are forwarded to the server with the body.
    forwarded: Vec<(&'static str, String)>,
}

impl RequestHead {
    /// Creates the proxy's request. It counts as received now, when its body is complete.
    fn into_request(self, body: Bytes, presence: ClientPresence) -> ProxyRequest {
        ProxyRequest {
            method: self.method,
            target: self.target,
            id: self.headers.id,
            idempotency_key: self.headers.idempotency_key,
            class: self.headers.class,
            payload: Payload {
                body,
                headers: self.forwarded,
            },
            received_at: Instant::now(),
            client_timeout: self.headers.client_timeout,
            work_hint: self.headers.work_hint,
            presence,
        }
    }
}

/// Why a request is not passed to the proxy.
#[derive(Debug)]
pub(super) enum RefusedRequest {
    /// It is malformed.
    Malformed(MalformedRequest),
    /// There is no memory for its body, which is not read.
    BodyOverMemory,
    /// It was read completely, and there is no memory for its attempts and its response.
    OverMemory,
}

impl From<MalformedRequest> for RefusedRequest {
    fn from(error: MalformedRequest) -> Self {
        Self::Malformed(error)
    }
}

/// Reads a request completely and validates it. Returns it with the memory that is reserved for it
/// up to the end of its response.
///
/// # Errors
/// Returns the first reason that is found; the rest of the request is not read then.
pub(super) async fn read_request(
    context: &ServiceContext,
    mut request: Request,
    client: &ClientConnection,
) -> Result<(ProxyRequest, MemoryReservation), RefusedRequest> {
    let limits = context.limits();
    // If nothing was received since the last response, the request was sent before that response.
    if !client.has_received_since_response() {
        return Err(MalformedRequest::Pipelined.into());
    }
    let head = read_head(context, &request)?;
    let max_bytes = limits.max_body_bytes;
    let reservation = context
        .memory()
        .reserve_body(max_body_bytes(&request, head.body_length, max_bytes))
        .map_err(|OverMemory| RefusedRequest::BodyOverMemory)?;
    client.input().on_body_length(head.body_length);
    let body = read_body(request.take_payload(), head.body_length, max_bytes).await?;
    if !client.on_request_read(limits).await {
        return Err(MalformedRequest::Pipelined.into());
    }
    let reservation = reservation
        .complete(body.len())
        .map_err(|OverMemory| RefusedRequest::OverMemory)?;
    let request = head.into_request(body, client.presence().clone());
    Ok((request, reservation))
}

/// The largest body that may follow a head: a chunked body has no declared length.
fn max_body_bytes(request: &Request, body_length: usize, max_bytes: usize) -> usize {
    if request.chunked().unwrap_or(true) {
        max_bytes
    } else {
        body_length
    }
}

/// Parses and validates the head of a request.
fn read_head(context: &ServiceContext, request: &Request) -> Result<RequestHead, MalformedRequest> {
    let limits = context.limits();
    Ok(RequestHead {
        headers: RequestHeaders::parse(context, request.headers())?,
        method: method(request)?,
        target: target(request, limits.client.max_target_chars)?,
        body_length: body_length(request, limits.max_body_bytes)?,
        forwarded: forwarded_headers(request.headers()),
    })
}

fn method(request: &Request) -> Result<String, MalformedRequest> {
    let method = request.method().as_str();
    if !METHODS.contains(&method) {
        return Err(MalformedRequest::MethodNotAllowed);
    }
    Ok(method.to_owned())
}

/// The path and query. Other targets (`*`, an authority) are rejected, since they cannot be written
/// to a server: each attempt would fail before it is sent.
fn target(request: &Request, max_chars: usize) -> Result<String, MalformedRequest> {
    let target = request
        .uri()
        .path_and_query()
        .map(|target| target.as_str())
        .filter(|target| target.starts_with('/'))
        .ok_or(MalformedRequest::TargetNotPath)?;
    if target.len() > max_chars {
        return Err(MalformedRequest::TargetTooLong);
    }
    Ok(target.to_owned())
}

/// The declared length of the body, 0 if none is declared. A body that is too large is rejected
/// before any of it is read.
fn body_length(request: &Request, max_bytes: usize) -> Result<usize, MalformedRequest> {
    let bytes = content_length(request.headers()).unwrap_or_default();
    usize::try_from(bytes)
        .ok()
        .filter(|&bytes| bytes <= max_bytes)
        .ok_or(MalformedRequest::BodyTooLarge)
}

async fn read_body(
    mut stream: BodyStream,
    body_length: usize,
    max_bytes: usize,
) -> Result<Bytes, MalformedRequest> {
    let mut body = BytesMut::with_capacity(body_length);
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(MalformedRequest::BodyUnreadable)?;
        if body.len() + chunk.len() > max_bytes {
            return Err(MalformedRequest::BodyTooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
