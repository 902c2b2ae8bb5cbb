//! Detects failed servers and decides when they are suspected, readmitted or declared dead.
//!
//! A server is suspected (ejected) if one of these holds:
//! - A scheduled health check fails and none succeeds within 150 ms. Without peers, a second check
//!   then decides. With peers, the suspicion is sent to all balancers, or kept local if another
//!   balancer has reached the server.
//! - Its attempts in flight have gone without a response for so long that `-ln P > 14`. `P` is the
//!   probability of such a wait at a healthy server if the fleet's latencies are log-normal, as in
//!   an accrual failure detector.
//! - `k` consecutive attempts fail and `-k * ln(fleet's error rate) >= 9`.
//! - Another balancer suspects it and it has served none of this balancer's attempts in the last
//!   0.5 s.
//!
//! A served attempt, a restart or a successful health check ends the suspicion, subject to the
//! ejection time ([`EjectionDecision`](crate::policy::EjectionDecision)). After 8 s a suspected
//! server is declared dead. It is still checked, and is readmitted when it answers. The mechanism
//! is that of SWIM, as in the paper by Michael J. Freedman, "Democratizing Content Distribution"
//! (section 2.2.2), with attempts as a second source of evidence.

#[cfg(test)]
mod tests;

use crate::estimators::fleet_error_rate::FleetErrorRate;
use crate::estimators::latency_distribution::LatencyDistribution;
use crate::fleet::Fleet;
use crate::policy::ejection::{is_cause_trusted, is_flapping};
use crate::state::{ServerState, Suspicion};
use crate::{EjectionCause, Micros, Outcome};

/// Time from a failed health check to its confirmation, in microseconds. Other balancers must
/// answer indirect check requests within it. A longer delay sends more attempts to a failed server.
const CONFIRMATION_DELAY: Micros = 150_000;
/// Time after which a server that is still suspected is declared dead, in microseconds. Much
/// shorter than the three minutes of the paper (section 2.2.2).
const DEAD_AFTER: Micros = 8_000_000;
/// A server is suspected if the surprisal of its missing responses exceeds this, in nats. Surprisal
/// is the negative natural logarithm of a probability, here that a healthy server takes so long to
/// respond. 14 nats are about one in a million. The threshold is strict because the response times
/// of one server are correlated. A lower threshold ejects servers when the whole fleet is slow; a
/// higher one delays the ejection of a server that answers health checks but no attempts.
const NO_RESPONSE_THRESHOLD_NATS: f64 = 14.0;
/// A server is suspected if the surprisal of its consecutive failures reaches this, in nats. Two
/// consecutive failures suffice if the fleet's error rate is 1 % or lower; a higher error rate
/// requires more.
const CONSECUTIVE_FAILURE_THRESHOLD_NATS: f64 = 9.0;
/// A suspicion of another balancer is not adopted if the server has served an attempt of this
/// balancer within this time, in microseconds. With a longer window, a server that has just failed
/// is used for longer; with a shorter one, a single mistaken balancer makes even balancers with
/// much traffic eject a healthy server.
const RECENT_SUCCESS_WINDOW: Micros = 500_000;

/// What to do about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthAction {
    /// Leave the state of the server as it is.
    NoAction,
    /// Confirm a failed health check at this time, by indirect checks or by a second check.
    ConfirmAt(Micros),
    /// Repeat the health check now, as there are no other balancers to confirm the failure.
    CheckAgain,
    /// Make the server the next one to be checked.
    ExpediteCheck,
    /// Suspect the server.
    Eject {
        /// What raised the suspicion.
        cause: EjectionCause,
        /// Which balancers are told.
        scope: SuspicionScope,
    },
    /// Declare the server dead: it has been suspected for too long.
    DeclareDead,
    /// End the suspicion.
    Readmit,
}

/// Which balancers are told of a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SuspicionScope {
    /// Only this balancer.
    Local,
    /// All balancers, through gossip.
    AllBalancers,
}

/// Detects failed servers against the fleet-wide latency distribution and error rate.
pub(crate) struct FailureDetector {
    latency_distribution: LatencyDistribution,
    fleet_error_rate: FleetErrorRate,
}

impl FailureDetector {
    /// Creates a detector without samples; `shortest_objective` is in microseconds.
    pub(crate) fn new(shortest_objective: f64) -> Self {
        Self {
            latency_distribution: LatencyDistribution::new(shortest_objective),
            fleet_error_rate: FleetErrorRate::default(),
        }
    }

    /// Adds the latency of a response, in microseconds, to the fleet's distribution.
    pub(crate) fn on_response(&mut self, latency: f64) {
        self.latency_distribution.on_response(latency);
    }

    /// Records a served attempt in the fleet's error rate.
    pub(crate) fn on_served(&mut self) {
        self.fleet_error_rate.on_served();
    }

    /// Handles a failed attempt, the last of `failures` consecutive ones at its server. Timeouts
    /// are ignored here; [`evaluate_server`](Self::evaluate_server) detects missing responses.
    pub(crate) fn on_attempt_failed(&mut self, failures: u32, outcome: Outcome) -> HealthAction {
        if outcome == Outcome::TimedOut {
            return HealthAction::NoAction;
        }
        if failures == 1 {
            self.fleet_error_rate.on_first_failure();
        }
        let surprisal = self
            .fleet_error_rate
            .consecutive_failure_surprisal(failures);
        if surprisal >= CONSECUTIVE_FAILURE_THRESHOLD_NATS {
            eject(EjectionCause::Attempts, SuspicionScope::Local)
        } else {
            HealthAction::NoAction
        }
    }

    /// Evaluates a server on each tick: a failed health check whose confirmation is due, else a
    /// current suspicion, else the attempts without a response.
    pub(crate) fn evaluate_server(&self, fleet: &Fleet, server: &ServerState) -> HealthAction {
        if server.health_check.is_confirmation_due(fleet.now) {
            return confirm_failed_check(fleet, server);
        }
        if let Some(suspicion) = server.suspicion.current() {
            return evaluate_suspicion(fleet, server, suspicion);
        }
        let surprisal = self
            .latency_distribution
            .no_response_surprisal(server, fleet.now);
        if surprisal > NO_RESPONSE_THRESHOLD_NATS {
            eject(EjectionCause::Attempts, SuspicionScope::Local)
        } else {
            HealthAction::NoAction
        }
    }

    /// Handles a successful health check. A suspicion raised by attempts ends only after its
    /// ejection time.
    pub(crate) fn evaluate_successful_check(now: Micros, server: &ServerState) -> HealthAction {
        match server.suspicion.current() {
            Some(suspicion) if ends_with_successful_check(now, suspicion) => HealthAction::Readmit,
            _ => HealthAction::NoAction,
        }
    }

    /// Handles a failed scheduled health check.
    pub(crate) fn evaluate_failed_check(fleet: &Fleet, server: &ServerState) -> HealthAction {
        let is_already_handled =
            server.suspicion.is_suspected() || server.health_check.is_confirming();
        if is_already_handled {
            return HealthAction::NoAction;
        }
        if fleet.settings.has_peers() || server.health_check.is_confirmed_alive() {
            return HealthAction::ConfirmAt(fleet.now + CONFIRMATION_DELAY);
        }
        eject(EjectionCause::HealthChecks, SuspicionScope::Local)
    }

    /// Handles a suspicion of another balancer against an incarnation of a server.
    pub(crate) fn evaluate_gossip(
        now: Micros,
        server: &ServerState,
        incarnation: Micros,
    ) -> HealthAction {
        if incarnation < server.incarnation() || server.suspicion.is_suspected() {
            return HealthAction::NoAction;
        }
        let has_recently_served = now < server.failures.last_served_at() + RECENT_SUCCESS_WINDOW;
        if has_recently_served {
            return HealthAction::ExpediteCheck;
        }
        eject(EjectionCause::Gossip, SuspicionScope::AllBalancers)
    }

    /// Handles a newer incarnation in the endpoint list. A restart does not end the suspicion of a
    /// server that was ejected repeatedly.
    pub(crate) fn evaluate_restart(now: Micros, server: &ServerState) -> HealthAction {
        if is_flapping(now, server) {
            HealthAction::NoAction
        } else {
            HealthAction::Readmit
        }
    }
}

fn eject(cause: EjectionCause, scope: SuspicionScope) -> HealthAction {
    HealthAction::Eject { cause, scope }
}

fn ends_with_successful_check(now: Micros, suspicion: Suspicion) -> bool {
    suspicion.cause != EjectionCause::Attempts || suspicion.ejection_time_elapsed(now)
}

/// Concludes the confirmation of a failed health check. With peers, the server is ejected; if
/// another balancer has reached it, the suspicion is kept local. Without peers, the server is
/// checked a second time.
fn confirm_failed_check(fleet: &Fleet, server: &ServerState) -> HealthAction {
    if !fleet.settings.has_peers() {
        return HealthAction::CheckAgain;
    }
    let scope = if server.health_check.is_confirmed_alive() {
        SuspicionScope::Local
    } else {
        SuspicionScope::AllBalancers
    };
    eject(EjectionCause::HealthChecks, scope)
}

/// Decides whether a suspected server is declared dead or readmitted. Declaring it dead takes
/// precedence; the caller then evaluates it again, which may end the suspicion.
fn evaluate_suspicion(fleet: &Fleet, server: &ServerState, suspicion: Suspicion) -> HealthAction {
    let is_overdue = fleet.now >= suspicion.since + DEAD_AFTER;
    if is_overdue && !server.suspicion.is_dead() {
        return HealthAction::DeclareDead;
    }
    // Without health checks, only further attempts can show that a server has recovered.
    let is_ejection_time_over =
        !fleet.settings.host.health_checks && suspicion.ejection_time_elapsed(fleet.now);
    if is_ejection_time_over || !is_cause_trusted(fleet, suspicion.cause) {
        HealthAction::Readmit
    } else {
        HealthAction::NoAction
    }
}
