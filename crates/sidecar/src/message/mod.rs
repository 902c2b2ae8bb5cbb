//! What proxy and upstream exchange: requests, the results of attempts and why one was not begun.
//!
//! Plain types below both, so that neither needs the other's files for them. What happens with them
//! is decided elsewhere.

mod attempt_result;
mod client_presence;
mod request;
mod send_blocked;

pub(crate) use attempt_result::AttemptResult;
pub(crate) use client_presence::ClientPresence;
pub(crate) use request::{FORWARDED_HEADERS, Payload, ProxyRequest};
pub(crate) use send_blocked::SendBlocked;
