//! Why a request gets a 4xx response and is not forwarded.

use actix_http::StatusCode;
use actix_http::error::PayloadError;

/// Why a request gets a 4xx response and is not forwarded. Each message is the text of the
/// response.
#[derive(Debug, thiserror::Error)]
pub(super) enum MalformedRequest {
    /// The client sent it, or more behind it, before the previous response.
    #[error("one request at a time")]
    Pipelined,
    /// A header that the proxy needs is empty, too long or no text.
    #[error("a header cannot be read")]
    HeaderUnreadable,
    /// The request has no id.
    #[error("X-Request-ID is missing")]
    RequestIdMissing,
    /// The class is missing or not configured.
    #[error("X-Priority-Class is not a known class")]
    PriorityClassUnknown,
    /// The class requires a key, by which servers drop repeated requests.
    #[error("Idempotency-Key is missing")]
    IdempotencyKeyMissing,
    /// The method is none that servers take.
    #[error("the method is not GET or POST")]
    MethodNotAllowed,
    /// The target has no path that could be sent to a server.
    #[error("the target is not a path")]
    TargetNotPath,
    /// The path and query have more characters than the bound.
    #[error("the target is too long")]
    TargetTooLong,
    /// The body has more bytes than the bound, or is announced to have.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body's framing is broken, or the client left within it.
    #[error("the body cannot be read")]
    BodyUnreadable(#[source] PayloadError),
    /// Another request of the same id is in flight; nothing was done.
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
