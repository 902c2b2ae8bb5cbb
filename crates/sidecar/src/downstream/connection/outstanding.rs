//! What a connection still owes its client, and the state of a connection that owes nothing.

use tokio::time::Instant;

/// The state of an idle connection. When all permits are taken, the idle connection with the lowest
/// state is closed.
///
/// Connections that have had a response come first, since such a client sends its next request on a
/// new connection. A client that has not sent its first request yet would lose that request if its
/// connection were closed. Within each group the connection that has been idle for longest comes
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::downstream) struct IdleState {
    /// No response was ready on the connection yet.
    pub(in crate::downstream) awaits_first_request: bool,
    /// When the client connected or its last response was ready.
    pub(in crate::downstream) idle_since: Instant,
}

/// What a connection waits for before it owes its client nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::downstream) enum Outstanding {
    /// The response to a complete request.
    Response,
    /// The operating system has not taken all bytes of a response.
    ResponseBytes,
    /// The rest of a request.
    RequestBytes,
    /// No request has begun and no response is left to write.
    Nothing,
}
