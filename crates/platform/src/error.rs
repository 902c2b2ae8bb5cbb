//! Errors of the readers. Their messages are one line and name the key, so that an operator can
//! mend the file.

use thiserror::Error;

/// The text is not JSON that can be read.
#[derive(Debug, Error)]
pub enum JsonError {
    /// Brackets and braces are nested deeper than the reader allows.
    #[error("nested deeper than {max_depth} levels")]
    TooDeep {
        /// The allowed depth.
        max_depth: usize,
    },
    /// The text violates JSON's syntax.
    #[error(transparent)]
    Syntax(#[from] tinyjson::JsonParseError),
}

/// The value of one key cannot be used.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{path}: {problem}")]
pub struct KeyError {
    /// Where the key stands, such as `settings.request-classes[0].objective-ms`.
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
    /// The number must not be zero.
    #[error("must be above zero")]
    Zero,
    /// The number is below a lower bound.
    #[error("must be {min} or more")]
    TooSmall {
        /// The smallest number allowed.
        min: usize,
    },
    /// The number is zero or reaches an upper bound.
    #[error("must be above zero and below {bound}")]
    OutOfRange {
        /// The smallest number that is too large.
        bound: f64,
    },
    /// The number is too large for a point in time.
    #[error("is too large for a timestamp")]
    InvalidTimestamp,
    /// The text is not a hexadecimal number.
    #[error("must be a hexadecimal number")]
    NotHexadecimal,
    /// The text is none of the known values.
    #[error("unknown value {0:?}")]
    UnknownValue(String),
    /// The text is not a socket address.
    #[error("is not an address and port")]
    NotAnAddress,
    /// The text must be a name that no other entry has.
    #[error("{0:?} is empty or duplicated")]
    EmptyOrDuplicateName(String),
}

/// A text cannot be read: it is not JSON, or one of its keys cannot be used.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The text is not JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The value of a key cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
}
