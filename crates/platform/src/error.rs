//! Errors of the readers. Each message is a single line that names the key, so that an operator can
//! correct the file.

use thiserror::Error;

/// The text cannot be parsed as JSON.
#[derive(Debug, Error)]
pub enum JsonError {
    /// Arrays and objects are nested deeper than the reader allows.
    #[error("nested deeper than {max_depth} levels")]
    TooDeep {
        /// The largest allowed depth.
        max_depth: usize,
    },
    /// The text violates JSON's syntax.
    #[error("Parse error at line:{line}, col:{column}: {reason}")]
    Syntax {
        /// Line of the text, counted from 1.
        line: usize,
        /// Number of characters of the line up to the error.
        column: usize,
        /// What was expected and what was found.
        reason: String,
    },
}

/// The value of a key is missing or invalid.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{path}: {problem}")]
pub struct KeyError {
    /// Path of the key, such as `settings.request-classes[0].objective-ms`.
    pub path: String,
    /// What is wrong with its value.
    #[source]
    pub problem: KeyProblem,
}

/// What is wrong with the value of a key.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum KeyProblem {
    /// The key is required and absent.
    #[error("is missing")]
    Missing,
    /// A number is expected.
    #[error("must be a number")]
    NotANumber,
    /// A string is expected.
    #[error("must be a string")]
    NotAString,
    /// A boolean is expected.
    #[error("must be true or false")]
    NotABoolean,
    /// An array is expected.
    #[error("must be an array")]
    NotAnArray,
    /// The number is negative or not finite.
    #[error("must be finite and not negative")]
    NegativeOrNotFinite,
    /// The number is zero.
    #[error("must be above zero")]
    Zero,
    /// The number is below a lower bound.
    #[error("must be {min} or more")]
    TooSmall {
        /// The smallest allowed number.
        min: usize,
    },
    /// The number is zero or reaches an upper bound.
    #[error("must be above zero and below {bound}")]
    OutOfRange {
        /// The exclusive upper bound.
        bound: f64,
    },
    /// The number is too large for a timestamp.
    #[error("is too large for a timestamp")]
    InvalidTimestamp,
    /// The string is not a hexadecimal number.
    #[error("must be a hexadecimal number")]
    NotHexadecimal,
    /// The string is none of the known values.
    #[error("unknown value {0:?}")]
    UnknownValue(String),
    /// The string is not a socket address.
    #[error("is not an address and port")]
    NotAnAddress,
    /// The string must be a non-empty name that no other entry has.
    #[error("{0:?} is empty or duplicated")]
    EmptyOrDuplicateName(String),
}

/// A document cannot be read: it is not JSON, or the value of a key is missing or invalid.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The document is not JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The value of a key is missing or invalid.
    #[error(transparent)]
    Key(#[from] KeyError),
}
