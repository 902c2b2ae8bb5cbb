//! The headers by which a client says what its request is and how long it waits.

use std::ops::RangeInclusive;
use std::time::Duration;

use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use arrowstand_balancer::ClassId;

use super::malformed_request::MalformedRequest;
use super::service_context::ServiceContext;
use crate::message::FORWARDED_HEADERS;

const REQUEST_ID: &str = "x-request-id";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const PRIORITY_CLASS: &str = "x-priority-class";
const TIMEOUT: &str = "x-timeout";
const COST: &str = "x-cost";

const MICROS_PER_MILLISECOND: f64 = 1_000.0;
/// The work that is believed, in microseconds: up to a minute. What is beyond that is no estimate
/// of a request whose response takes seconds.
const WORK_HINT_MICROS: RangeInclusive<f64> = 1.0..=6e7;

/// A request's headers, beside those that are forwarded.
pub(super) struct RequestHeaders {
    /// The client's name of the request.
    pub id: String,
    /// By which servers drop repeated requests.
    pub idempotency_key: Option<String>,
    /// The priority class, one that is configured.
    pub class: ClassId,
    /// How long the client waits, from the request's last byte.
    pub client_timeout: Duration,
    /// The request's work on a usual server, where the client knows.
    pub work_hint: Option<Duration>,
}

impl RequestHeaders {
    /// Reads and checks the headers; counts those that are optional and cannot be read.
    ///
    /// # Errors
    /// The first header at fault that the proxy needs.
    pub(super) fn parse(
        context: &ServiceContext,
        headers: &HeaderMap,
    ) -> Result<Self, MalformedRequest> {
        let classes = context.classes();
        let max_chars = context.limits().client.max_token_chars;
        let id =
            token(headers, REQUEST_ID, max_chars)?.ok_or(MalformedRequest::RequestIdMissing)?;
        let idempotency_key = token(headers, IDEMPOTENCY_KEY, max_chars)?;
        let class = token(headers, PRIORITY_CLASS, max_chars)?
            .and_then(|name| classes.id(&name))
            .ok_or(MalformedRequest::PriorityClassUnknown)?;
        let client_timeout = client_timeout(context, headers, class);
        let work_hint = work_hint(context, headers);
        // Without its key no server could drop a repeated request.
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

/// The body's length as announced.
pub(super) fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// The headers that go with the body, as far as they are text.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> Vec<(&'static str, String)> {
    FORWARDED_HEADERS
        .into_iter()
        .filter_map(|name| Some((name, text(headers, name)?.to_owned())))
        .collect()
}

/// How long the client waits. The header only helps, so one that cannot be read counts as absent
/// and does not cost the client its request.
fn client_timeout(context: &ServiceContext, headers: &HeaderMap, class: ClassId) -> Duration {
    match text(headers, TIMEOUT).and_then(parse_timeout) {
        Some(timeout) => timeout.min(context.limits().client.max_timeout),
        None => {
            context.counters().timeout_headers_skipped.inc();
            context.classes().default_client_timeout(class)
        }
    }
}

fn work_hint(context: &ServiceContext, headers: &HeaderMap) -> Option<Duration> {
    let work_hint = text(headers, COST).and_then(parse_work_hint);
    if work_hint.is_none() && headers.contains_key(COST) {
        context.counters().cost_headers_skipped.inc();
    }
    work_hint
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header that names something; none where it is absent.
fn token(
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

/// A number and a unit: `480m` are milliseconds, `480000u` microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let micros = match text.strip_suffix('u') {
        Some(number) => number.parse::<f64>().ok()?,
        None => text.strip_suffix('m')?.parse::<f64>().ok()? * MICROS_PER_MILLISECOND,
    };
    (micros.is_finite() && micros >= 0.0).then(|| whole_micros(micros))
}

/// Microseconds, with or without a fraction, within the bounds.
fn parse_work_hint(text: &str) -> Option<Duration> {
    let micros = text.trim().parse::<f64>().ok()?;
    WORK_HINT_MICROS
        .contains(&micros)
        .then(|| whole_micros(micros))
}

/// A number of microseconds that is not negative, without its fraction.
fn whole_micros(micros: f64) -> Duration {
    Duration::from_micros(micros as u64)
}

#[cfg(test)]
mod tests;
