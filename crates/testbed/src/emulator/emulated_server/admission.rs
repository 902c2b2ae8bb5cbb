//! The types that `attempt` and `process` exchange for the admission of an attempt, its result and
//! its response.

use tokio::sync::oneshot;

use crate::index::RequestNumber;
use crate::scenario::Micros;

/// An attempt that the process is asked to accept.
pub(super) struct AdmissionRequest {
    pub(super) request: RequestNumber,
    /// Expected work, in microseconds of a standard core.
    pub(super) work: f64,
    /// Standard deviation of the logarithm of the actual work around the expected work.
    pub(super) noise: f64,
    /// Whether it is the first on its connection, which costs a handshake.
    pub(super) new_connection: bool,
    /// When it expires unless it has started.
    pub(super) deadline: Micros,
}

/// An accepted attempt.
pub(super) struct AcceptedAttempt {
    /// Id of its job in the model.
    pub(super) job_id: u64,
    /// Receives its result; closed without one if the attempt is lost.
    pub(super) result: oneshot::Receiver<ExecutionResult>,
}

/// The result of an execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExecutionResult {
    Success,
    Error,
}

impl ExecutionResult {
    /// The result of a completed job, which failed if `error` is set.
    pub(super) fn from_error(error: bool) -> Self {
        if error { Self::Error } else { Self::Success }
    }
}

/// Whether the process accepts an attempt, and the state of the server when it decides.
pub(super) struct Admission {
    /// Actual work, in microseconds of a standard core.
    pub(super) work: f64,
    /// Work that the server can do per microsecond.
    pub(super) capacity: f64,
    pub(super) cold: bool,
    /// `None` if the attempt is rejected.
    pub(super) accepted: Option<AcceptedAttempt>,
}

/// The random outcome of a response and its load report, drawn when the execution ends.
pub(super) struct ResponseOutcome {
    /// Whether the response cannot be parsed.
    pub(super) malformed: bool,
    /// Whether the connection is reset instead of a response.
    pub(super) reset: bool,
    /// Attempts in flight that the response reports; `None` if it has no load report.
    pub(super) reported_in_flight: Option<usize>,
}
