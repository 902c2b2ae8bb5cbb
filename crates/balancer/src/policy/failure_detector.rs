//! Which servers are suspected, why, and when that ends.
//!
//! A server is suspected (ejected) where
//! - a full health check fails and none has succeeded 150 ms later; without other balancers a
//!   second check then decides, with others it is suspected by all, or by this one alone if another
//!   one has reached it;
//! - all attempts in flight at it have been silent for so long that `-ln P(silence) > 14` on a
//!   sound server, under a log-normal distribution of the fleet's latencies;
//! - `k` attempts in a row fail and `-k * ln(fleet's error rate) >= 9`;
//! - another balancer suspects it, and no own attempt was served in the last half second.
//!
//! A suspicion ends with a served attempt, a restart or a good health check; how long it withstands
//! these is the law of [`EjectionDecision`](crate::policy::EjectionDecision). After 8 s a suspected server is
//! declared dead; it is still checked, and comes back when it answers. The mechanism is SWIM's, as
//! in section 2.2.2 of the paper, with attempts as a second source of evidence.

#[cfg(test)]
mod tests;

use crate::estimators::fleet_error_rate::FleetErrorRate;
use crate::estimators::latency_distribution::LatencyDistribution;
use crate::fleet::Fleet;
use crate::policy::ejection::{is_cause_trusted, is_flapping};
use crate::state::{ServerState, Suspicion};
use crate::{EjectionCause, Micros, Outcome};

/// Time from a failed health check to its confirmation, in microseconds. Other balancers that are
/// asked must answer within it; longer, and a server that is gone gets attempts for longer.
/// Inherited with the first version of the module; its source was not recorded.
const CONFIRMATION_DELAY: Micros = 150_000;
/// Time without a sign of life after which a suspected server is declared dead, in microseconds.
/// The paper (section 2.2.2) waits three minutes; 8 s is the choice of the first design.
const DEAD_AFTER: Micros = 8_000_000;
/// Improbability of the silence of a server's attempts above which it is suspected, in nats: the
/// negative natural logarithm of the probability that a sound server is silent for so long. 14 nats
/// are one in a million; the bound is that strict because responses of one server hang together.
/// Lower, and general slowness raises suspicions; higher, and a server that answers health checks
/// but no attempt is used for longer. Inherited with the first version of the module.
const NO_RESPONSE_THRESHOLD_NATS: f64 = 14.0;
/// Improbability of the failures in a row above which a server is suspected, in nats. Two failures
/// reach it where the fleet fails one attempt in a hundred or fewer, and more are needed where all
/// fail more often. Inherited with the first version of the module.
const CONSECUTIVE_FAILURE_THRESHOLD_NATS: f64 = 9.0;
/// An own attempt served within this time, in microseconds, outweighs another balancer's suspicion.
/// Longer, and a server that has just failed is used for longer; shorter, and one mistaken balancer
/// makes busy ones drop a sound server. Inherited with the first version of the module; its source
/// was not recorded.
const RECENT_SUCCESS_WINDOW: Micros = 500_000;

/// What is to be done about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthAction {
    /// Nothing.
    NoAction,
    /// A failed health check is to be confirmed at this time: by other balancers or by a second
    /// check.
    ConfirmAt(Micros),
    /// Its health is to be checked a second time now, as there are no other balancers to confirm a
    /// failure.
    CheckAgain,
    /// It is to be the next server that is checked.
    CheckSoon,
    /// It is to be suspected.
    Eject {
        /// Why.
        cause: EjectionCause,
        /// Who learns of it.
        scope: SuspicionScope,
    },
    /// It has been suspected for so long that it is taken for gone.
    DeclareDead,
    /// Its suspicion is to end.
    Readmit,
}

/// Who learns of a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SuspicionScope {
    /// This balancer alone.
    Local,
    /// All balancers, by gossip.
    AllBalancers,
}

/// Detects failed servers; owns what is usual in the fleet: its latencies and its error rate.
pub(crate) struct FailureDetector {
    latency_distribution: LatencyDistribution,
    fleet_error_rate: FleetErrorRate,
}

impl FailureDetector {
    /// A detector that has seen nothing; `shortest_objective` is in microseconds.
    pub(crate) fn new(shortest_objective: f64) -> Self {
        Self {
            latency_distribution: LatencyDistribution::new(shortest_objective),
            fleet_error_rate: FleetErrorRate::default(),
        }
    }

    /// A server responded to an attempt after so many microseconds.
    pub(crate) fn on_response(&mut self, latency: f64) {
        self.latency_distribution.on_response(latency);
    }

    /// An attempt was served.
    pub(crate) fn on_served(&mut self) {
        self.fleet_error_rate.on_served();
    }

    /// A server failed an attempt, the last of so many `failures` in a row. A timeout is left to
    /// the silence of the attempts.
    pub(crate) fn on_attempt_failed(&mut self, failures: u32, outcome: Outcome) -> HealthAction {
        if outcome == Outcome::TimedOut {
            return HealthAction::NoAction;
        }
        if failures == 1 {
            self.fleet_error_rate.on_first_failure();
        }
        let improbability = self.fleet_error_rate.run_improbability(failures);
        if improbability >= CONSECUTIVE_FAILURE_THRESHOLD_NATS {
            eject(EjectionCause::Attempts, SuspicionScope::Local)
        } else {
            HealthAction::NoAction
        }
    }

    /// Looks at a server with each tick: at a failed health check that waits for its confirmation,
    /// at a suspicion that stands, or else at the silence of its attempts.
    pub(crate) fn evaluate_server(&self, fleet: &Fleet, server: &ServerState) -> HealthAction {
        if server.health_check.is_confirmation_due(fleet.now) {
            return confirm_failed_check(fleet, server);
        }
        if let Some(suspicion) = server.suspicion.current() {
            return evaluate_suspicion(fleet, server, suspicion);
        }
        let silence = self
            .latency_distribution
            .silence_improbability(server, fleet.now);
        if silence > NO_RESPONSE_THRESHOLD_NATS {
            eject(EjectionCause::Attempts, SuspicionScope::Local)
        } else {
            HealthAction::NoAction
        }
    }

    /// A health check of a server succeeded. That proves little where attempts raised the
    /// suspicion.
    pub(crate) fn evaluate_successful_check(now: Micros, server: &ServerState) -> HealthAction {
        match server.suspicion.current() {
            Some(suspicion) if ends_with_successful_check(now, suspicion) => HealthAction::Readmit,
            _ => HealthAction::NoAction,
        }
    }

    /// A full health check of a server failed.
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

    /// Another balancer suspects an incarnation of a server.
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
            return HealthAction::CheckSoon;
        }
        eject(EjectionCause::Gossip, SuspicionScope::AllBalancers)
    }

    /// The endpoint list names a newer incarnation of a server. A server that keeps restarting does
    /// not earn trust by that alone.
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
    suspicion.cause != EjectionCause::Attempts || suspicion.has_aged(now)
}

/// The confirmation of a failed health check is due: other balancers have been asked, or else this
/// one checks again. One that answered another balancer is suspected by this one alone.
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

/// Death is declared first; the suspicion may end right after it.
fn evaluate_suspicion(fleet: &Fleet, server: &ServerState, suspicion: Suspicion) -> HealthAction {
    let is_overdue = fleet.now >= suspicion.since + DEAD_AFTER;
    if is_overdue && !server.suspicion.is_dead() {
        return HealthAction::DeclareDead;
    }
    // Where nothing checks its health, only attempts can show that a server has recovered.
    let is_ejection_over = !fleet.settings.host.health_checks && suspicion.has_aged(fleet.now);
    if is_ejection_over || !is_cause_trusted(fleet, suspicion.cause) {
        HealthAction::Readmit
    } else {
        HealthAction::NoAction
    }
}
