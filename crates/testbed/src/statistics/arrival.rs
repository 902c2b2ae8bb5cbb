//! An arrival, and the share of its value that counts as served.
//!
//! Defines that share for a response in time, a late one and none. `service` sums the value.

use crate::event_log::RequestOutcome;
use crate::index::{ClassIndex, TenantIndex};
use crate::scenario::{Class, Micros, from_ms};

/// An arrival that has not ended.
pub(super) struct OpenArrival {
    pub(super) at: Micros,
    pub(super) class: ClassIndex,
    pub(super) tenant: TenantIndex,
    /// Weight of the arrival in the service figure.
    pub(super) value: f64,
    /// Whether its tenant was within its quota.
    pub(super) within_quota: bool,
}

/// How an arrival ended.
pub(super) struct ArrivalResult {
    /// Time from the arrival to its end.
    pub(super) latency: Micros,
    /// Whether it was served within its class's latency objective.
    pub(super) in_time: bool,
    /// Whether it ended after its class's latency objective.
    pub(super) past_objective: bool,
    /// Share of the arrival's value that counts as served.
    pub(super) credited_share: f64,
}

impl ArrivalResult {
    pub(super) fn new(
        class: &Class,
        arrived_at: Micros,
        ended_at: Micros,
        outcome: RequestOutcome,
    ) -> Self {
        let latency = ended_at.saturating_sub(arrived_at);
        let objective = from_ms(class.latency_objective_ms);
        let served = outcome == RequestOutcome::Served;
        let in_time = served && latency <= objective;
        let credited_share = match (in_time, served) {
            (true, _) => 1.0,
            (false, true) => class.late_value,
            (false, false) => 0.0,
        };
        Self {
            latency,
            in_time,
            past_objective: latency > objective,
            credited_share,
        }
    }
}
