//! A client's request, independent of the protocol by which it was received.

use std::time::Duration;

use arrowstand_balancer::ClassId;
use bytes::Bytes;
use tokio::time::Instant;

use super::client_presence::ClientPresence;

/// Headers forwarded unchanged with a body, in requests and in responses.
pub(crate) const FORWARDED_HEADERS: [&str; 3] =
    ["content-type", "content-encoding", "content-language"];

/// A body and the forwarded headers that came with it.
pub(crate) struct Payload {
    /// The complete body.
    pub body: Bytes,
    /// Name and value of each of [`FORWARDED_HEADERS`] that is present.
    pub headers: Vec<(&'static str, String)>,
}

/// A client's request, completely read and validated.
pub(crate) struct ProxyRequest {
    /// `GET` or `POST`.
    pub method: String,
    /// The path and query of the request.
    pub target: String,
    /// The request id that the client chose.
    pub id: String,
    /// The key by which servers detect repeated requests; present for every request of a class
    /// that requires one.
    pub idempotency_key: Option<String>,
    /// The request class.
    pub class: ClassId,
    /// The body and headers sent to the server.
    pub payload: Payload,
    /// When the last byte was read.
    pub received_at: Instant,
    /// How long the client waits for the response after `received_at`.
    pub client_timeout: Duration,
    /// The client's estimate of the execution time on a standard core, if it sent one.
    pub work_hint: Option<Duration>,
    /// Whether the client is still connected.
    pub presence: ClientPresence,
}

impl ProxyRequest {
    /// When the client stops waiting for the response.
    pub(crate) fn deadline(&self) -> Instant {
        self.received_at + self.client_timeout
    }
}
