//! An arrival, and what its end gains.
//!
//! Owns the rule by which a response in time, a late one and none gain; the sums are those of
//! `service`.

use crate::event_log::RequestOutcome;
use crate::index::{ClassIndex, TenantIndex};
use crate::scenario::{Class, Micros, from_ms};

/// An arrival that has not ended.
pub(super) struct OpenArrival {
    pub(super) at: Micros,
    pub(super) class: ClassIndex,
    pub(super) tenant: TenantIndex,
    pub(super) value: f64,
    pub(super) within_quota: bool,
}

/// How much of an arrival's value was gained, and when.
pub(super) struct Gain {
    /// Time from the arrival to its end.
    pub(super) latency: Micros,
    /// Whether it was served within its class's latency objective.
    pub(super) in_time: bool,
    /// Whether the objective had passed at its end.
    pub(super) past_objective: bool,
    /// Gained share of the value.
    pub(super) share: f64,
}

impl Gain {
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
        let share = match (in_time, served) {
            (true, _) => 1.0,
            (false, true) => class.late_value,
            (false, false) => 0.0,
        };
        Self {
            latency,
            in_time,
            past_objective: latency > objective,
            share,
        }
    }
}
