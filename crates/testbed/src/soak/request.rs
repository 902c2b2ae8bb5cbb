//! The text of the requests that the soak's clients send.

use std::time::Duration;

use super::record::RequestId;

/// The classes of the soak: one that may run again, and one that must not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestClass {
    /// May run any number of times.
    Idempotent,
    /// Must run once at most.
    NonIdempotent,
}

impl RequestClass {
    /// The class's name in the sidecar's settings.
    fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "job-status",
            Self::NonIdempotent => "book-slot",
        }
    }

    fn method(self) -> &'static str {
        match self {
            Self::Idempotent => "GET",
            Self::NonIdempotent => "POST",
        }
    }
}

/// The fields of a request's head up to its framing.
pub(super) fn head_fields(class: RequestClass, id: RequestId, timeout: Duration) -> String {
    format!(
        "{} /api HTTP/1.1\r\nHost: soak\r\nX-Request-ID: {id}\r\nX-Priority-Class: {}\r\n\
         X-Timeout: {}m\r\n",
        class.method(),
        class.name(),
        timeout.as_millis()
    )
}

/// The head of a request with a body of this length.
pub(super) fn sized_head(
    class: RequestClass,
    id: RequestId,
    timeout: Duration,
    body_bytes: usize,
) -> String {
    let fields = head_fields(class, id, timeout);
    match class {
        RequestClass::Idempotent => format!("{fields}\r\n"),
        RequestClass::NonIdempotent => format!("{fields}Content-Length: {body_bytes}\r\n\r\n"),
    }
}
