//! The rules, and the list of their violations.
//!
//! What violates a rule is defined in the module of that rule.

use std::fmt;

use serde::Serialize;

use crate::conversion::s_from_micros;
use crate::index::{RequestNumber, ServerIndex};
use crate::scenario::Micros;

/// Maximum number of listed violations, to keep reports readable; further ones are only counted.
const MAX_LISTED_VIOLATIONS: usize = 50;

/// A rule that every run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each accepted request gets one complete final response in time.
    SingleResponse,
    /// A request that a server may have executed reaches no server again, unless the idempotency of
    /// its class covers the repetition.
    NoDuplicateExecution,
    /// A sidecar starts no attempt to a server after the notification that the server drains or is
    /// gone.
    NoAttemptAfterDrain,
    /// Sidecars that were notified of a server's start do not overload it while it is cold.
    ColdServerNotOverloaded,
    /// A request that a server may have executed is not rejected, unless a retry by the client has
    /// no further side effect.
    NoRejectionAfterExecution,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::SingleResponse => "one final response",
            Self::NoDuplicateExecution => "no duplicate execution outside the class's idempotency",
            Self::NoAttemptAfterDrain => "no new attempt after a drain",
            Self::ColdServerNotOverloaded => "no cold server overloaded",
            Self::NoRejectionAfterExecution => "no rejection of what may have executed",
        })
    }
}

/// One violation, with the data to find it in the event log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Time of the violation, in microseconds since the run began.
    pub at: Micros,
    /// The rule that was violated.
    pub rule: Rule,
    /// The request concerned, if there is one.
    pub request: Option<RequestNumber>,
    /// The server concerned, if there is one.
    pub server: Option<ServerIndex>,
    /// What happened.
    pub why: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {:.3} s, ", s_from_micros(self.at))?;
        if let Some(request) = self.request {
            write!(f, "request {request}, ")?;
        }
        if let Some(server) = self.server {
            write!(f, "server {server}, ")?;
        }
        write!(f, "rule '{}': {}", self.rule, self.why)
    }
}

/// The violations so far: all are counted, and the first [`MAX_LISTED_VIOLATIONS`] are listed.
#[derive(Default)]
pub(super) struct ViolationList {
    listed: Vec<Violation>,
    count: u64,
}

impl ViolationList {
    pub(super) fn listed(&self) -> &[Violation] {
        &self.listed
    }

    pub(super) fn count(&self) -> u64 {
        self.count
    }

    pub(super) fn add(
        &mut self,
        at: Micros,
        rule: Rule,
        request: Option<RequestNumber>,
        server: Option<ServerIndex>,
        why: String,
    ) {
        self.count += 1;
        if self.listed.len() < MAX_LISTED_VIOLATIONS {
            self.listed.push(Violation {
                at,
                rule,
                request,
                server,
                why,
            });
        }
    }
}
