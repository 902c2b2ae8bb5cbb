//! The admission of an attempt to an emulated server's process, and what is drawn for its response.
//!
//! Owns the types that `attempt` and `process` exchange, and no behaviour.

use tokio::sync::oneshot;

use crate::index::RequestNumber;
use crate::scenario::Micros;

/// An attempt that asks the process for admission.
pub(super) struct AdmissionRequest {
    pub(super) request: RequestNumber,
    /// Expected work.
    pub(super) work: f64,
    /// Spread of the actual work around it, as the standard deviation of its logarithm.
    pub(super) noise: f64,
    /// Whether it came on a new connection, which costs a handshake.
    pub(super) new_connection: bool,
    /// When it expires if it has not started.
    pub(super) deadline: Micros,
}

/// An attempt that was accepted: its number in the model, and its end.
pub(super) struct AcceptedAttempt {
    pub(super) job_id: u64,
    pub(super) result: oneshot::Receiver<ExecutionResult>,
}

/// How the execution of an attempt ended at the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExecutionResult {
    Success,
    Error,
}

impl ExecutionResult {
    /// The result of a job of the model that ended in an error, or did not.
    pub(super) fn from_error(error: bool) -> Self {
        if error { Self::Error } else { Self::Success }
    }
}

/// Whether the process accepts an attempt, and its state at that moment.
pub(super) struct Admission {
    /// The actual work.
    pub(super) work: f64,
    /// Work that the server could do per microsecond.
    pub(super) capacity: f64,
    pub(super) cold: bool,
    /// Nothing where the attempt was rejected.
    pub(super) accepted: Option<AcceptedAttempt>,
}

/// What is drawn for a response as its attempt ends.
pub(super) struct ResponseOutcome {
    /// Whether the response cannot be parsed.
    pub(super) malformed: bool,
    /// Whether the connection is reset instead.
    pub(super) reset: bool,
    /// Attempts in flight that the response reports, if it does.
    pub(super) reported_in_flight: Option<usize>,
}
