//! The rules, and what was found against them.
//!
//! Owns the names of the rules and the list of findings; each rule's file knows what violates it.

use std::fmt;

use serde::Serialize;

use crate::conversion::s_from_micros;
use crate::index::{RequestNumber, ServerIndex};
use crate::scenario::Micros;

/// Violations that are listed, for a report that a person can read; further ones are only counted.
const MAX_LISTED: usize = 50;

/// What every run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// One complete final response to each accepted request, in time.
    SingleResponse,
    /// No attempt that may have executed is repeated, unless the class is idempotent there.
    NoDuplicateExecution,
    /// No new attempt to a server after its drain, or its end, was notified.
    NoAttemptAfterDrain,
    /// No cold server is overloaded.
    ColdServerNotOverloaded,
    /// No rejection of what may have executed, where a retry is not harmless.
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

/// One violation, with what is needed to find it in the event log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// When it happened.
    pub at: Micros,
    /// The rule that was violated.
    pub rule: Rule,
    /// The request concerned.
    pub request: Option<RequestNumber>,
    /// The server concerned.
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

/// The violations so far: the first ones listed, all of them counted.
#[derive(Default)]
pub(super) struct Findings {
    listed: Vec<Violation>,
    count: u64,
}

impl Findings {
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
        if self.listed.len() < MAX_LISTED {
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
