//! Why settings are refused.

use thiserror::Error;

/// A setting that is out of range; the message names its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// No request class is configured.
    #[error("setting classes: at least one class is needed")]
    NoClasses,
    /// A setting of one request class is out of range.
    #[error("setting classes[{index}].{problem}")]
    Class {
        /// Position of the class, from 0.
        index: usize,
        /// What is wrong with it.
        problem: ClassProblem,
    },
    /// `max_attempts` is zero.
    #[error("setting max_attempts: at least one attempt is needed")]
    NoAttempts,
    /// The capacity that a server starts with is no share.
    #[error("setting cold_share: must be above 0 and at most 1")]
    InitialCapacityOutOfRange,
    /// The multiple that overloads a server in slow start is no positive number.
    #[error("setting cold_multiple: must be finite and above 0")]
    OverloadFactorOutOfRange,
    /// A fee is infinite or not a number.
    #[error("setting probe_fee, connection_fee or cross_zone_fee: must be finite")]
    FeeNotFinite,
    /// The longest time between two polls is zero.
    #[error("setting ask_every: must be above zero")]
    PollIntervalZero,
}

/// What is out of range in the settings of a request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ClassProblem {
    /// The priority weight is negative, infinite or not a number.
    #[error("worth: must be finite and not negative")]
    PriorityWeight,
    /// The latency objective is zero.
    #[error("objective: must be above zero")]
    LatencyObjective,
    /// The deadline is shorter than the latency objective.
    #[error("deadline: must not be below the objective")]
    Deadline,
    /// The value of a late response is no share.
    #[error("late_value: must lie between 0 and 1")]
    LateValue,
    /// The objective's growth with work is negative, infinite or not a number.
    #[error("stretch: must be finite and not negative")]
    ObjectivePerWork,
}
