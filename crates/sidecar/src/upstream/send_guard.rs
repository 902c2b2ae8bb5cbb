//! The last look before an attempt's first byte. The module decides early; a slow dial may lie between, or a turn of the
//! runtime. Pure: times and flags are handed in. What it stops was never sent.

use std::time::Duration;

/// What is known at the moment in which the first byte would go out.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendConditions {
    /// Its client has left.
    pub client_left: bool,
    /// Until the attempt is given up.
    pub time_left: Duration,
    /// Until a repeat of it may be begun, where that is bounded: none once that is past.
    pub window_left: Option<Duration>,
    /// For how long the server's drain has been known.
    pub drain_age: Option<Duration>,
    /// The server is at another address by now, and this one may be a successor's.
    pub server_moved: bool,
    /// A drain of the server's that no list has told may bind by now.
    pub list_stale: bool,
}

/// Why an attempt does not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendBlocked {
    ClientLeft,
    NoTime,
    WindowOver,
    ServerDraining,
    ServerMoved,
    ListStale,
}

impl SendBlocked {
    pub fn reason(self) -> &'static str {
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

/// Guards every rule that time can break between a decision and the wire; `grace` is how long a known drain is borne.
pub fn check(view: &SendConditions, grace: Duration) -> Result<(), SendBlocked> {
    if view.client_left {
        Err(SendBlocked::ClientLeft)
    } else if view.time_left.is_zero() {
        Err(SendBlocked::NoTime)
    } else if view.window_left.is_some_and(|left| left.is_zero()) {
        Err(SendBlocked::WindowOver)
    } else if view.drain_age.is_some_and(|known| known >= grace) {
        Err(SendBlocked::ServerDraining)
    } else if view.server_moved {
        Err(SendBlocked::ServerMoved)
    } else if view.list_stale {
        Err(SendBlocked::ListStale)
    } else {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
