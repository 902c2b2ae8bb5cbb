//! Why an attempt was not begun.

/// Why an attempt may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendBlocked {
    /// Its client has closed the connection.
    ClientLeft,
    /// It has timed out before its first byte.
    NoTime,
    /// It is a retry, and servers may no longer recognise it as one.
    WindowOver,
    /// The server has been draining for too long.
    ServerDraining,
    /// The server has another address by now.
    ServerMoved,
    /// The endpoint list is too old to show a drain.
    ListStale,
}

impl SendBlocked {
    /// The text of the I/O error with which the write fails.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::ClientLeft => "the client has left",
            Self::NoTime => "no time is left",
            Self::WindowOver => "the window for repeats is over",
            Self::ServerDraining => "the server drains",
            Self::ServerMoved => "the server has moved",
            Self::ListStale => "the list is too old to show a drain",
        }
    }
}
