//! The data types that `proxy` and `upstream` share: requests, attempt results and the reasons for
//! not sending an attempt.
//!
//! They are kept in a module of their own so that neither depends on the other for them. They hold
//! no decision logic.

mod attempt_result;
mod client_presence;
mod request;
mod send_blocked;
mod sliced_body;

pub(crate) use attempt_result::AttemptResult;
pub(crate) use client_presence::ClientPresence;
pub(crate) use request::{FORWARDED_HEADERS, Payload, ProxyRequest};
pub(crate) use send_blocked::SendBlocked;
pub(crate) use sliced_body::SlicedBody;
