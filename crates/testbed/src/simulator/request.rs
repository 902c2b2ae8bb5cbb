//! A client's request to its sidecar.
//!
//! A request is immutable. `clients` tracks its outcome at the client; `sidecars` handles its
//! attempts and its response.

use slotmap::new_key_type;

use super::process::SidecarProcess;
use crate::index::{ArrivalNumber, ClassIndex, RequestNumber};
use crate::scenario::Micros;

new_key_type! {
    /// Key by which `Clients` finds an open arrival; it finds nothing once the arrival is closed.
    /// The event log has the arrival's number instead.
    pub(super) struct ArrivalKey;
    /// Key by which `Clients` finds a request; it finds nothing once the client no longer waits
    /// for a response. The event log and the sidecar have the request's number instead.
    pub(super) struct RequestKey;
}

/// A request of a client to its sidecar: the first one of an arrival, or a retry.
#[derive(Clone, Copy)]
pub(super) struct Request {
    pub(super) number: RequestNumber,
    pub(super) arrival: ArrivalKey,
    pub(super) arrival_number: ArrivalNumber,
    /// The sidecar process that it was sent to.
    pub(super) process: SidecarProcess,
    pub(super) class: ClassIndex,
    /// Work in microseconds of a standard core.
    pub(super) work: f64,
    /// Work hint of the client, in microseconds of a standard core.
    pub(super) work_hint: Option<Micros>,
    /// When the sidecar receives its last byte.
    pub(super) arrives_at: Micros,
    /// When the client stops waiting for a response.
    pub(super) deadline: Micros,
}
