//! Ejection time of a suspected server, and how the server is readmitted.
//!
//! A suspicion raised by failed attempts is not cleared by successful health checks until its
//! ejection time has passed. Otherwise a server that answers health checks but no attempts would be
//! readmitted immediately. The ejection time is
//!
//! ```text
//! ejection time = min(max(0.5 s * 2^k, mean attempt interval), 8 s)
//! ```
//!
//! where `k` is the number of earlier ejections, reset after 20 s without one, and the mean attempt
//! interval is the mean time between this balancer's attempts to one server of its subset. This is
//! similar to Envoy's outlier detection, which grows the ejection time linearly instead of
//! exponentially.
//!
//! Suspicions raised by health checks or by other balancers are ignored while too many health
//! checks fail ([`HealthCheckTrust`]). The first successful health check clears them; the server
//! then enters slow start if it may have restarted in the meantime.

#[cfg(test)]
mod tests;

use crate::fleet::Fleet;
use crate::policy::health_check_trust::HealthCheckTrust;
use crate::policy::health_checker::MIN_SUSPECT_CHECK_INTERVAL;
use crate::state::{ServerState, Suspicion};
use crate::{EjectionCause, Micros};

/// First ejection time, in microseconds: for this long, successful health checks do not end a
/// suspicion raised by attempts.
const BASE_EJECTION_TIME: Micros = 500_000;
/// Longest ejection time, in microseconds. Bounds how long a recovered server gets no requests.
const MAX_EJECTION_TIME: Micros = 8_000_000;
/// Maximum number of doublings of the ejection time. Only keeps the shift in range: four doublings
/// already reach [`MAX_EJECTION_TIME`].
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// Earlier ejections are forgotten after this time without a new one, in microseconds. Within the
/// window each ejection doubles the ejection time, and a restart alone does not clear the suspicion
/// of a server that was ejected repeatedly.
const EJECTION_HISTORY_WINDOW: Micros = 20_000_000;
/// Age of a suspicion, in microseconds, above which the server may have restarted without an
/// endpoint list update. The server is then readmitted in slow start, unless attempts raised the
/// suspicion. Equals twice the minimum interval between checks of a suspected server.
const UNDETECTED_RESTART_THRESHOLD: Micros = 2 * MIN_SUSPECT_CHECK_INTERVAL;

/// Whether a server is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionDecision {
    /// The server is ejected.
    Eject {
        /// The suspicion to record.
        suspicion: Suspicion,
        /// Number of recent earlier ejections that lengthened the ejection time.
        earlier_ejections: u32,
    },
    /// The server is already suspected.
    AlreadyEjected,
    /// The cause depends on health checks, which are currently untrusted.
    CauseUntrusted,
}

/// How a server is readmitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readmission {
    /// At full capacity.
    FullCapacity,
    /// In slow start, because it may have restarted.
    SlowStart,
}

impl EjectionDecision {
    /// Decides whether `cause` ejects `server`, and for how long.
    pub(crate) fn decide(fleet: &Fleet, server: &ServerState, cause: EjectionCause) -> Self {
        if server.suspicion.is_suspected() {
            return Self::AlreadyEjected;
        }
        if !is_cause_trusted(fleet, cause) {
            return Self::CauseUntrusted;
        }
        let earlier_ejections = server
            .suspicion
            .earlier_ejections(fleet.now, EJECTION_HISTORY_WINDOW);
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
    /// Decides how a server is readmitted when `suspicion` ends at `now`.
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

/// Returns true if the server was ejected repeatedly and recently.
pub(crate) fn is_flapping(now: Micros, server: &ServerState) -> bool {
    server.suspicion.is_flapping(now, EJECTION_HISTORY_WINDOW)
}

/// Returns true if suspicions with this cause are accepted. Attempts are always trusted; health
/// checks and gossip, which is based on health checks, only while few health checks fail.
pub(crate) fn is_cause_trusted(fleet: &Fleet, cause: EjectionCause) -> bool {
    cause == EjectionCause::Attempts || fleet.health_check_trust() == HealthCheckTrust::Trusted
}

/// Returns the ejection time in microseconds. It is at least the mean attempt interval: with a low
/// request rate, a shorter ejection could end before the next attempt would have been sent.
fn ejection_time(fleet: &Fleet, earlier_ejections: u32) -> Micros {
    let doubled = BASE_EJECTION_TIME << earlier_ejections.min(MAX_EJECTION_DOUBLINGS);
    let mean_attempt_interval = fleet.subset_size() as f64 / fleet.request_rate();
    doubled
        .max(mean_attempt_interval as Micros)
        .min(MAX_EJECTION_TIME)
}
