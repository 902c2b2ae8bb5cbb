//! Validation errors of [`Settings`](crate::Settings).

use thiserror::Error;

/// A setting that is out of range. The message starts with the name of the setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// No request class is configured.
    #[error("setting classes: at least one class is needed")]
    NoClasses,
    /// A setting of a request class is out of range.
    #[error("setting classes[{index}].{error}")]
    RequestClass {
        /// Index of the class in [`Settings::classes`](crate::Settings::classes).
        index: usize,
        /// The setting and its valid range.
        error: RequestClassError,
    },
    /// The maximum number of attempts is zero.
    #[error("setting max_attempts: at least one attempt is needed")]
    MaxAttemptsZero,
    /// The capacity at the beginning of slow start is not a fraction.
    #[error("setting initial_capacity: must be above 0 and at most 1")]
    InitialCapacityOutOfRange,
    /// The overload factor is not a positive finite number.
    #[error("setting overload_factor: must be finite and above 0")]
    OverloadFactorOutOfRange,
    /// A fee is infinite or not a number.
    #[error("setting fees: all fees must be finite")]
    FeeNotFinite,
    /// The maximum time between two polls of the endpoint list is zero.
    #[error("setting max_interval: the maximum poll interval must be above zero")]
    PollIntervalZero,
}

/// A setting of a request class that is out of range. The message starts with the field's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestClassError {
    /// The priority weight is negative, infinite or not a number.
    #[error("priority_weight: must be finite and not negative")]
    PriorityWeight,
    /// The latency objective is zero.
    #[error("latency_objective: must be above zero")]
    LatencyObjective,
    /// The deadline is shorter than the latency objective.
    #[error("deadline: must not be below the latency objective")]
    Deadline,
    /// The value of a late response is not a fraction.
    #[error("late_value: must lie between 0 and 1")]
    LateValue,
    /// The growth of the latency objective with work is negative, infinite or not a number.
    #[error("objective_per_work: must be finite and not negative")]
    ObjectivePerWork,
}
