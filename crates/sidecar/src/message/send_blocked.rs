//! The reasons for which the check before an attempt's first byte blocks the attempt.

/// Why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendBlocked {
    /// The client has disconnected.
    ClientDisconnected,
    /// The attempt's timeout expired before its first byte was written.
    AttemptTimedOut,
    /// The attempt is a retry, and its retry window has expired: servers may no longer recognise it
    /// as a duplicate.
    RetryWindowExpired,
    /// The server has been draining or removed for too long to get a new attempt.
    ServerDraining,
    /// The server's address has changed since the attempt was created.
    ServerAddressChanged,
    /// The endpoint list is too old to show whether the server is draining.
    EndpointListStale,
}

impl SendBlocked {
    /// The message of the I/O error with which the write fails.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::ClientDisconnected => "the client has disconnected",
            Self::AttemptTimedOut => "the attempt has timed out",
            Self::RetryWindowExpired => "the retry window has expired",
            Self::ServerDraining => "the server is draining",
            Self::ServerAddressChanged => "the server's address has changed",
            Self::EndpointListStale => "the endpoint list is stale",
        }
    }
}
