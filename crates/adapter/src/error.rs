//! Why the adapter stops. Each message is one line, and names a field as the simulator spells it.
//!
//! Owns the wording of the adapter's own errors; that of settings is owned by `arrowstand-platform`
//! and `arrowstand-balancer`.

use std::io;

use arrowstand_balancer::SettingsError;
use arrowstand_platform::KeyError;
use thiserror::Error;

/// Why the adapter stops before its input ends.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// The input cannot be read.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// A line is no batch of events.
    #[error("bad batch: {0}")]
    Batch(#[source] serde_json::Error),
    /// An event cannot be handled.
    #[error(transparent)]
    Host(#[from] HostError),
    /// The output cannot be written.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
}

/// Why an event cannot be handled.
#[derive(Debug, Error)]
pub(crate) enum HostError {
    /// The event itself is malformed.
    #[error(transparent)]
    Event(#[from] EventError),
    /// The event is for an instance that is not attached.
    #[error("unknown instance {0:?}")]
    UnknownInstance(String),
    /// The value of a key in an instance's settings cannot be used.
    #[error("attach: conf: {0}")]
    SettingsKey(#[from] KeyError),
    /// A setting of an instance is out of range.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// What is wrong with an event.
#[derive(Debug, Error)]
pub(crate) enum EventError {
    /// A field is absent that its kind of event needs.
    #[error("{message}: field {field} is missing")]
    MissingField {
        /// The kind of event.
        message: String,
        /// The field.
        field: &'static str,
    },
    /// A field has none of its known values.
    #[error("{message}: unknown {field} {value:?}")]
    UnknownValue {
        /// The kind of event.
        message: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The outcome of an attempt or a health check is none of the known ones.
    #[error("unknown rc {0:?}")]
    UnknownOutcome(String),
    /// There is no such kind of event.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
    /// A request id is no hexadecimal number.
    #[error("{message}: txn {text:?} is not a request id")]
    InvalidRequestId {
        /// The kind of event.
        message: String,
        /// The text in place of the id.
        text: String,
    },
    /// An endpoint table is named that was never sent.
    #[error("{message}: no roster {number}")]
    UnknownTable {
        /// The kind of event.
        message: String,
        /// The number of the table.
        number: usize,
    },
    /// The payload of a gossip message cannot be decoded.
    #[error("contents is not base64: {0}")]
    InvalidPayload(#[from] base64::DecodeError),
}
