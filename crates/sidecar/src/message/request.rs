//! A request as it comes from any client, free of the client's protocol.

use std::time::Duration;

use arrowstand_balancer::ClassId;
use bytes::Bytes;
use tokio::time::Instant;

use super::client_presence::ClientPresence;

/// The headers that go with a body unchanged, in both directions.
pub(crate) const FORWARDED_HEADERS: [&str; 3] =
    ["content-type", "content-encoding", "content-language"];

/// A body and the forwarded headers that came with it.
pub(crate) struct Payload {
    /// The complete body.
    pub body: Bytes,
    /// Name and value of each of [`FORWARDED_HEADERS`] that is there.
    pub headers: Vec<(&'static str, String)>,
}

/// A client's request, read to its last byte and checked.
pub(crate) struct ProxyRequest {
    /// `GET` or `POST`.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The client's request id.
    pub id: String,
    /// What servers know a retry by; there for every request of a class that needs one.
    pub idempotency_key: Option<String>,
    /// The class that it belongs to.
    pub class: ClassId,
    /// What goes to the server.
    pub payload: Payload,
    /// When its last byte was read.
    pub arrived: Instant,
    /// How long the client waits from then.
    pub client_timeout: Duration,
    /// Its work on a usual server, where the client gave an estimate.
    pub work_hint: Option<Duration>,
    /// Whether the client is still connected.
    pub presence: ClientPresence,
}

impl ProxyRequest {
    /// When the client gives up.
    pub(crate) fn deadline(&self) -> Instant {
        self.arrived + self.client_timeout
    }
}
