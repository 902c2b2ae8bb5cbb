//! A client's request, as it travels to its sidecar.
//!
//! Nothing in it changes on the way: what the client makes of it is `clients`', and its attempts
//! and its response are `sidecars`'.

use slotmap::new_key_type;

use super::process::SidecarProcess;
use crate::index::{ArrivalNumber, ClassIndex, RequestNumber};
use crate::scenario::Micros;

new_key_type! {
    /// Names what a client wants; one that is closed is no longer found.
    pub(super) struct ArrivalKey;
    /// Names a request; one that its client no longer waits for is no longer found.
    pub(super) struct RequestKey;
}

/// One request of a client to its sidecar: the first of an arrival or a retry.
#[derive(Clone, Copy)]
pub(super) struct Request {
    pub(super) number: RequestNumber,
    pub(super) arrival: ArrivalKey,
    pub(super) arrival_number: ArrivalNumber,
    /// The process that it was sent to.
    pub(super) process: SidecarProcess,
    pub(super) class: ClassIndex,
    /// Work in microseconds of a standard core.
    pub(super) work: f64,
    /// What the client hints of the work, in microseconds of a standard core.
    pub(super) work_hint: Option<Micros>,
    /// When its last byte is at the sidecar.
    pub(super) arrives_at: Micros,
    /// When its client gives up.
    pub(super) deadline: Micros,
}
