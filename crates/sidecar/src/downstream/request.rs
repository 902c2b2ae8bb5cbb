//! Reads a client's request to its last byte, checks it, and makes the proxy's request of it.

use actix_http::{HttpMessage as _, Payload as BodyStream, Request};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use tokio::time::Instant;

use super::connection::ClientConnection;
use super::malformed_request::MalformedRequest;
use super::request_headers::{RequestHeaders, content_length, forwarded_headers};
use super::service_context::ServiceContext;
use crate::message::{ClientPresence, Payload, ProxyRequest};

const METHODS: [&str; 2] = ["GET", "POST"];

/// What stands ahead of a request's body.
struct RequestHead {
    headers: RequestHeaders,
    method: String,
    target: String,
    /// The body's length as announced, 0 if it is not.
    announced_bytes: usize,
    /// The headers that go to the server with the body.
    forwarded: Vec<(&'static str, String)>,
}

impl RequestHead {
    /// The request that arrives now, with its body complete.
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

/// Reads a request to its last byte and checks it.
///
/// # Errors
/// The first fault that is found; the rest of the request is not read then.
pub(super) async fn read_request(
    context: &ServiceContext,
    mut request: Request,
    client: &ClientConnection,
) -> Result<ProxyRequest, MalformedRequest> {
    let limits = context.limits();
    // A request of which nothing came since the last response was sent behind the one before it.
    if !client.has_received_since_response() {
        return Err(MalformedRequest::Pipelined);
    }
    let head = read_head(context, &request)?;
    let max_bytes = limits.max_body_bytes;
    client.input().on_body_announced(head.announced_bytes);
    let body = read_body(request.take_payload(), head.announced_bytes, max_bytes).await?;
    if !client.on_request_read(limits).await {
        return Err(MalformedRequest::Pipelined);
    }
    Ok(head.into_request(body, client.presence().clone()))
}

/// Reads and checks what stands ahead of the body.
fn read_head(context: &ServiceContext, request: &Request) -> Result<RequestHead, MalformedRequest> {
    let limits = context.limits();
    Ok(RequestHead {
        headers: RequestHeaders::parse(context, request.headers())?,
        method: method(request)?,
        target: target(request, limits.client.max_target_chars)?,
        announced_bytes: announced_body_bytes(request, limits.max_body_bytes)?,
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

/// The path and query. Other targets (`*`, an authority) cannot be written to a server: each
/// attempt would fail unsent.
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

/// The body's length as announced, 0 if it is not. A body that is too large is rejected before any
/// of it is read.
fn announced_body_bytes(request: &Request, max_bytes: usize) -> Result<usize, MalformedRequest> {
    let bytes = content_length(request.headers()).unwrap_or_default();
    usize::try_from(bytes)
        .ok()
        .filter(|&bytes| bytes <= max_bytes)
        .ok_or(MalformedRequest::BodyTooLarge)
}

async fn read_body(
    mut stream: BodyStream,
    announced_bytes: usize,
    max_bytes: usize,
) -> Result<Bytes, MalformedRequest> {
    let mut body = BytesMut::with_capacity(announced_bytes);
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(MalformedRequest::BodyUnreadable)?;
        if body.len() + chunk.len() > max_bytes {
            return Err(MalformedRequest::BodyTooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
