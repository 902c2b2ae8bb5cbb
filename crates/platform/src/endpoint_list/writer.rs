//! Writes endpoint lists in the format that discovery sends and a sidecar's configuration caches.

use arrowstand_balancer::{EndpointStatus, Micros};
use serde_json::{Value, json};

use super::{
    DRAINING, EndpointList, ListKind, ListedEndpoint, READY, REMOVED, UNKNOWN_START_TIME_MS,
    micros_from_start_time_ms,
};
use crate::keys::{endpoint, endpoint_list};
use crate::number::nearest_f64;
use crate::units::MICROS_PER_MS;

/// The relative capacity written for every server: all are equal. No reader uses it.
const CAPACITY_HINT: f64 = 1.0;

impl EndpointList {
    /// The list as JSON with sorted keys. [`parse`](Self::parse) returns the same list, except for
    /// [`skipped`](Self::skipped), which is not written.
    ///
    /// The round trip is exact for revisions up to 2^53, for start times before the year 2109, and
    /// for addresses without an IPv6 flow label, which has no text form. From 2109 on, adjacent
    /// floating-point milliseconds are about a microsecond apart.
    pub fn to_json(&self) -> Value {
        let endpoints: Vec<Value> = self.endpoints.iter().map(ListedEndpoint::to_json).collect();
        json!({
            endpoint_list::REVISION: self.revision,
            endpoint_list::IS_FULL: self.kind == ListKind::Full,
            endpoint_list::ENDPOINTS: endpoints,
        })
    }
}

impl ListedEndpoint {
    /// The server as an entry of a list. An unknown start time is written as 0.
    pub fn to_json(&self) -> Value {
        json!({
            endpoint::ID: self.id,
            endpoint::ADDRESS: self.address.to_string(),
            endpoint::ZONE: self.zone,
            endpoint::MACHINE_TYPE: self.machine_type,
            endpoint::CELL: self.cell,
            endpoint::STATUS: status_name(self.status),
            endpoint::CAPACITY_HINT: CAPACITY_HINT,
            endpoint::STARTED_AT_MS: self
                .started_at
                .map_or(UNKNOWN_START_TIME_MS, start_time_ms_from_micros),
        })
    }
}

fn status_name(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::Ready => READY,
        EndpointStatus::Draining => DRAINING,
        EndpointStatus::Removed => REMOVED,
    }
}

/// Converts microseconds to the milliseconds that are read back as the same microseconds. The
/// reader truncates to whole microseconds, so if the nearest `f64` would be read as the previous
/// microsecond, the next larger `f64` is used.
fn start_time_ms_from_micros(started_at: Micros) -> f64 {
    let nearest_ms = nearest_f64(started_at) / MICROS_PER_MS;
    if micros_from_start_time_ms(nearest_ms) < started_at {
        f64::from_bits(nearest_ms.to_bits() + 1)
    } else {
        nearest_ms
    }
}

#[cfg(test)]
mod tests;
