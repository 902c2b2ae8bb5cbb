//! Reads and checks a client's request.

use std::time::Duration;

use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use actix_http::{HttpMessage as _, Request, StatusCode};
use bytes::BytesMut;
use futures_util::StreamExt as _;
use tokio::time::Instant;

use super::connection::ClientConnection;
use crate::host::BalancerHost;
use crate::proxy::{FORWARDED_HEADERS, Payload, ProxyRequest};

/// Why a request is answered with a 4xx and goes no further.
pub struct Bad(pub StatusCode, pub &'static str);

/// Reads a request to its last byte and checks it.
pub async fn read(
    host: &BalancerHost,
    mut request: Request,
    client: &ClientConnection,
) -> Result<ProxyRequest, Bad> {
    let limits = &host.limits;
    let bad = |why| Bad(StatusCode::BAD_REQUEST, why);
    // Guards against requests that pile up behind an open one.
    if !client.is_first_since_response() {
        return Err(bad("one request at a time\n"));
    }
    let headers = request.headers();
    let id = token(headers, "x-request-id", limits.client.max_token_chars)?;
    let id = id.ok_or_else(|| bad("X-Request-ID is missing\n"))?;
    let key = token(headers, "idempotency-key", limits.client.max_token_chars)?;
    let class = token(headers, "x-priority-class", limits.client.max_token_chars)?;
    let class = class.and_then(|name| host.class(&name));
    let class = class.ok_or_else(|| bad("X-Priority-Class is not a known class\n"))?;
    // Guards against a refusal for a word about the request: what cannot be read counts as not said.
    let said = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let patience = said("x-timeout")
        .and_then(span)
        .map(|span| span.min(limits.client.max_timeout));
    if patience.is_none() {
        host.counters.timeout_headers_skipped.add();
    }
    let patience = patience.unwrap_or_else(|| host.default_client_timeout(class));
    let cost = said("x-cost").and_then(cost_of);
    if cost.is_none() && headers.contains_key("x-cost") {
        host.counters.cost_headers_skipped.add();
    }
    if host.requires_idempotency_key(class) && key.is_none() {
        // Without its key no job server could drop a repeat.
        return Err(bad("Idempotency-Key is missing\n"));
    }
    let method = request.method().as_str().to_owned();
    if !["GET", "POST"].contains(&method.as_str()) {
        return Err(Bad(
            StatusCode::METHOD_NOT_ALLOWED,
            "the method is not GET or POST\n",
        ));
    }
    // Guards against a target that cannot be written to a job server: each attempt would fail unsent.
    let target = request
        .uri()
        .path_and_query()
        .map(|t| t.as_str())
        .filter(|t| t.starts_with('/'));
    let target = target
        .ok_or_else(|| bad("the target is not a path\n"))?
        .to_owned();
    if target.len() > limits.client.max_target_chars {
        return Err(Bad(StatusCode::URI_TOO_LONG, "the target is too long\n"));
    }
    // Guards against reading what is to be refused.
    let length = headers
        .get(CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if length.is_some_and(|length| length > limits.max_body_bytes as u64) {
        return Err(Bad(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large\n",
        ));
    }
    let label = |name: &'static str| Some((name, headers.get(name)?.to_str().ok()?.to_owned()));
    let labels = FORWARDED_HEADERS.into_iter().filter_map(label).collect();
    client.announce_body(length.unwrap_or_default() as usize);
    let mut payload = request.take_payload();
    let mut body = BytesMut::with_capacity(length.unwrap_or_default() as usize);
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| bad("the body cannot be read\n"))?;
        if body.len() + chunk.len() > limits.max_body_bytes {
            return Err(Bad(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large\n",
            ));
        }
        body.extend_from_slice(&chunk);
    }
    if !client.on_request_read(limits).await {
        return Err(bad("one request at a time\n"));
    }
    let content = Payload {
        body: body.freeze(),
        headers: labels,
    };
    let (arrived, presence) = (Instant::now(), client.presence());
    Ok(ProxyRequest {
        method,
        target,
        id,
        idempotency_key: key,
        class,
        payload: content,
        arrived,
        client_timeout: patience,
        work_hint: cost,
        presence,
    })
}

fn token(headers: &HeaderMap, name: &str, most: usize) -> Result<Option<String>, Bad> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= most => Ok(Some(text.to_owned())),
        _ => Err(Bad(StatusCode::BAD_REQUEST, "a header cannot be read\n")),
    }
}

/// A number and a unit: `480m` are milliseconds, `480000u` microseconds.
fn span(text: &str) -> Option<Duration> {
    let micros = match text.strip_suffix('u') {
        Some(number) => number.parse::<f64>().ok()?,
        None => text.strip_suffix('m')?.parse::<f64>().ok()? * 1_000.0,
    };
    (micros.is_finite() && micros >= 0.0).then(|| Duration::from_micros(micros as u64))
}

/// Whole or broken microseconds, more than none and no more than a minute: what is beyond that is no estimate of a
/// request that is answered in seconds, and counts as absent.
fn cost_of(text: &str) -> Option<Duration> {
    let micros = text.trim().parse::<f64>().ok()?;
    (1.0..=6e7)
        .contains(&micros)
        .then(|| Duration::from_micros(micros as u64))
}
