//! Parses the headers that describe a request and the client's timeout.

use std::ops::RangeInclusive;
use std::time::Duration;

use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use arrowstand_balancer::ClassId;

use super::malformed_request::MalformedRequest;
use super::service_context::ServiceContext;
use crate::message::FORWARDED_HEADERS;

/// The request id that the client chose.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// The key by which servers detect repeated requests.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The name of the request class.
const PRIORITY_CLASS_HEADER: &str = "x-priority-class";
/// How long the client waits for the response: a number with the unit suffix `m` or `u`.
const TIMEOUT_HEADER: &str = "x-timeout";
/// The work hint in microseconds.
const WORK_HINT_HEADER: &str = "x-cost";

const MICROS_PER_MS: f64 = 1_000.0;
/// The accepted work hints, in microseconds: up to a minute. Responses take seconds, so a
/// larger value is no plausible estimate.
const WORK_HINT_RANGE_MICROS: RangeInclusive<f64> = 1.0..=6e7;

/// The parsed headers of a request, except those that are forwarded.
pub(super) struct RequestHeaders {
    /// The request id that the client chose.
    pub id: String,
    /// The key by which servers detect repeated requests.
    pub idempotency_key: Option<String>,
    /// The request class, one of the configured ones.
    pub class: ClassId,
    /// How long the client waits for the response, from the request's last byte.
    pub client_timeout: Duration,
    /// The client's estimate of the execution time on a standard core, if it sent one.
    pub work_hint: Option<Duration>,
}

impl RequestHeaders {
    /// Parses and validates the headers; counts optional ones that cannot be parsed.
    ///
    /// # Errors
    /// Returns the error of the first required header that is missing or invalid.
    pub(super) fn parse(
        context: &ServiceContext,
        headers: &HeaderMap,
    ) -> Result<Self, MalformedRequest> {
        let classes = context.classes();
        let max_chars = context.limits().client.max_token_chars;
        let id = parse_token(headers, REQUEST_ID_HEADER, max_chars)?
            .ok_or(MalformedRequest::RequestIdMissing)?;
        let idempotency_key = parse_token(headers, IDEMPOTENCY_KEY_HEADER, max_chars)?;
        let class = parse_token(headers, PRIORITY_CLASS_HEADER, max_chars)?
            .and_then(|name| classes.id(&name))
            .ok_or(MalformedRequest::PriorityClassUnknown)?;
        let client_timeout = client_timeout(context, headers, class);
        let work_hint = work_hint(context, headers);
        // Without the key, servers could not detect a repeated request.
        if classes.requires_idempotency_key(class) && idempotency_key.is_none() {
            return Err(MalformedRequest::IdempotencyKeyMissing);
        }
        Ok(Self {
            id,
            idempotency_key,
            class,
            client_timeout,
            work_hint,
        })
    }
}

/// The body's length as declared by Content-Length.
pub(super) fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// The headers that are forwarded with the body; a header that is not text is omitted.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> Vec<(&'static str, String)> {
    FORWARDED_HEADERS
        .into_iter()
        .filter_map(|name| Some((name, header_text(headers, name)?.to_owned())))
        .collect()
}

/// How long the client waits for the response. The header is optional, so a value that cannot be
/// parsed is treated as absent instead of failing the request.
fn client_timeout(context: &ServiceContext, headers: &HeaderMap, class: ClassId) -> Duration {
    match header_text(headers, TIMEOUT_HEADER).and_then(parse_timeout) {
        Some(timeout) => timeout.min(context.limits().client.max_timeout),
        None => {
            context.counters().timeout_headers_skipped.inc();
            context.classes().default_client_timeout(class)
        }
    }
}

fn work_hint(context: &ServiceContext, headers: &HeaderMap) -> Option<Duration> {
    let work_hint = header_text(headers, WORK_HINT_HEADER).and_then(parse_work_hint);
    if work_hint.is_none() && headers.contains_key(WORK_HINT_HEADER) {
        context.counters().cost_headers_skipped.inc();
    }
    work_hint
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a header whose value is an opaque name or key; none if the header is absent.
fn parse_token(
    headers: &HeaderMap,
    name: &str,
    max_chars: usize,
) -> Result<Option<String>, MalformedRequest> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= max_chars => Ok(Some(text.to_owned())),
        _ => Err(MalformedRequest::HeaderUnreadable),
    }
}

/// Parses a number with a unit: `480m` is in milliseconds, `480000u` in microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let micros = match text.strip_suffix('u') {
        Some(number) => number.parse::<f64>().ok()?,
        None => text.strip_suffix('m')?.parse::<f64>().ok()? * MICROS_PER_MS,
    };
    (micros.is_finite() && micros >= 0.0).then(|| duration_from_micros(micros))
}

/// Parses a number of microseconds, with or without a fraction; none outside the accepted range.
fn parse_work_hint(text: &str) -> Option<Duration> {
    let micros = text.trim().parse::<f64>().ok()?;
    WORK_HINT_RANGE_MICROS
        .contains(&micros)
        .then(|| duration_from_micros(micros))
}

/// Converts a non-negative number of microseconds; truncates its fraction.
fn duration_from_micros(micros: f64) -> Duration {
    Duration::from_micros(micros as u64)
}

#[cfg(test)]
mod tests;
