//! How long a suspicion lasts, and how a server comes back from it.
//!
//! A suspicion that attempts raised withstands good health checks for its ejection time: a server
//! that answers health checks but no attempt would come back at once. With `k` earlier ejections in
//! the last 20 s, and the mean pause between own attempts at one server of the subset,
//!
//! ```text
//! ejection time = min(max(0.5 s * 2^k, mean pause), 8 s)
//! ```
//!
//! as with the outlier detection of Envoy, which multiplies where this doubles. Suspicions that
//! health checks or other balancers raised are not believed while too many health checks fail
//! ([`HealthCheckTrust`]); they end with the first good one, after which the server is in slow
//! start if it may have restarted meanwhile.

#[cfg(test)]
mod tests;

use crate::fleet::Fleet;
use crate::policy::health_check_trust::HealthCheckTrust;
use crate::policy::health_checker::MIN_SUSPECT_CHECK_INTERVAL;
use crate::state::{ServerState, Suspicion};
use crate::{EjectionCause, Micros};

/// First ejection time, in microseconds: how long a suspicion that attempts raised withstands
/// health checks. Inherited with the first version of the module; its source was not recorded.
const BASE_EJECTION_TIME: Micros = 500_000;
/// Longest ejection time, in microseconds: it bounds how long a server that has recovered gets
/// nothing. Inherited with the first version of the module; its source was not recorded.
const MAX_EJECTION_TIME: Micros = 8_000_000;
/// Most doublings of the ejection time: only keeps the shift in range, as four already reach the
/// longest time.
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// Time without a new suspicion after which earlier ones are forgotten, in microseconds. Within it
/// ejection times double, and a restart alone does not end the suspicion of a server that was
/// ejected repeatedly. Inherited with the first version of the module; its source was not recorded.
const EJECTION_HISTORY_WINDOW: Micros = 20_000_000;
/// A suspicion over health checks that stood for longer than this, in microseconds, may hide a
/// restart that the endpoint list did not tell of: the server comes back in slow start. Two checks
/// of a suspected server.
const UNDETECTED_RESTART_THRESHOLD: Micros = 2 * MIN_SUSPECT_CHECK_INTERVAL;

/// Whether a suspicion is raised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionDecision {
    /// It is raised.
    Eject {
        /// The suspicion.
        suspicion: Suspicion,
        /// Earlier ejections that counted for its time.
        earlier_ejections: u32,
    },
    /// The server is suspected already.
    AlreadyEjected,
    /// Health checks are not believed now.
    CauseUntrusted,
}

/// How a server comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readmission {
    /// With its full capacity.
    FullCapacity,
    /// In slow start, as it may have restarted.
    SlowStart,
}

impl EjectionDecision {
    /// Whether a suspicion is raised for this cause, and for how long it withstands health checks.
    pub(crate) fn decide(fleet: &Fleet, server: &ServerState, cause: EjectionCause) -> Self {
        if server.suspicion.is_suspected() {
            return Self::AlreadyEjected;
        }
        if !is_cause_trusted(fleet, cause) {
            return Self::CauseUntrusted;
        }
        let earlier_ejections = server
            .suspicion
            .ejections_before(fleet.now, EJECTION_HISTORY_WINDOW);
        Self::Eject {
            suspicion: Suspicion {
                cause,
                since: fleet.now,
                ejection_time: ejection_time(fleet, earlier_ejections),
            },
            earlier_ejections,
        }
    }
}

impl Readmission {
    /// How a server comes back whose suspicion ends now.
    pub(crate) fn decide(now: Micros, suspicion: Suspicion) -> Self {
        let may_have_restarted = suspicion.cause != EjectionCause::Attempts
            && now > suspicion.since + UNDETECTED_RESTART_THRESHOLD;
        if may_have_restarted {
            Self::SlowStart
        } else {
            Self::FullCapacity
        }
    }
}

/// True where an earlier ejection still counts: the server was ejected repeatedly, and lately.
pub(crate) fn is_flapping(now: Micros, server: &ServerState) -> bool {
    server.suspicion.is_flapping(now, EJECTION_HISTORY_WINDOW)
}

/// Health checks, and other balancers that go by them, are believed while few fail; attempts
/// always.
pub(crate) fn is_cause_trusted(fleet: &Fleet, cause: EjectionCause) -> bool {
    cause == EjectionCause::Attempts || fleet.health_check_trust() == HealthCheckTrust::Trusted
}

/// A balancer so quiet that it sends to a server more seldom than that would learn nothing from the
/// ejection.
fn ejection_time(fleet: &Fleet, earlier_ejections: u32) -> Micros {
    let doubled = BASE_EJECTION_TIME << earlier_ejections.min(MAX_EJECTION_DOUBLINGS);
    let mean_pause = fleet.subset_size() as f64 / fleet.request_rate();
    doubled.max(mean_pause as Micros).min(MAX_EJECTION_TIME)
}
