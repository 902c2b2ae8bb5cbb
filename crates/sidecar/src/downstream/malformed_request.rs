//! The reasons for a 4xx response to a request that is not forwarded.

use actix_http::StatusCode;
use actix_http::error::PayloadError;

/// The reason for a 4xx response to a request that is not forwarded. Each message is the body of
/// the response.
#[derive(Debug, thiserror::Error)]
pub(super) enum MalformedRequest {
    /// The client sent the request before the previous response, or further input after it.
    #[error("one request at a time")]
    Pipelined,
    /// A header that the proxy needs is empty, too long or not text.
    #[error("a header cannot be read")]
    HeaderUnreadable,
    /// The request has no request id.
    #[error("X-Request-ID is missing")]
    RequestIdMissing,
    /// The request class is missing or not configured.
    #[error("X-Priority-Class is not a known class")]
    PriorityClassUnknown,
    /// The request class requires an idempotency key, by which servers detect repeated requests.
    #[error("Idempotency-Key is missing")]
    IdempotencyKeyMissing,
    /// Servers do not support the method.
    #[error("the method is not GET or POST")]
    MethodNotAllowed,
    /// The target is not a path, so it cannot be sent to a server.
    #[error("the target is not a path")]
    TargetNotPath,
    /// The path and query exceed the maximum length.
    #[error("the target is too long")]
    TargetTooLong,
    /// The body, or its declared length, exceeds the maximum.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body's framing is invalid, or the client disconnected before its end.
    #[error("the body cannot be read")]
    BodyUnreadable(#[source] PayloadError),
    /// Another request with the same id is in flight; this one had no effect.
    #[error("a transaction of that id is open")]
    DuplicateRequestId,
}

impl MalformedRequest {
    /// The status of the response.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::Pipelined
            | Self::HeaderUnreadable
            | Self::RequestIdMissing
            | Self::PriorityClassUnknown
            | Self::IdempotencyKeyMissing
            | Self::TargetNotPath
            | Self::BodyUnreadable(_) => StatusCode::BAD_REQUEST,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::TargetTooLong => StatusCode::URI_TOO_LONG,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::DuplicateRequestId => StatusCode::CONFLICT,
        }
    }
}

#[cfg(test)]
mod tests;
