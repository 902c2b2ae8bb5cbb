//! Errors that stop the adapter. Each message is a single line and refers to a field by its name in
//! the line protocol.
//!
//! Errors in settings are defined by `arrowstand-platform` and `arrowstand-balancer`.

use std::io;

use arrowstand_balancer::SettingsError;
use arrowstand_platform::KeyError;
use thiserror::Error;

/// An error that stops the adapter before the end of its input.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// The input cannot be read.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// A line is not a valid batch of events.
    #[error("bad batch: {0}")]
    Batch(#[source] serde_json::Error),
    /// An event cannot be handled.
    #[error(transparent)]
    Host(#[from] HostError),
    /// The output cannot be written.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
}

/// An error in handling an event.
#[derive(Debug, Error)]
pub(crate) enum HostError {
    /// The event itself is malformed.
    #[error(transparent)]
    Event(#[from] EventError),
    /// The event names an instance that is not attached.
    #[error("unknown instance {0:?}")]
    UnknownInstance(String),
    /// A key in the settings of an instance has an invalid value.
    #[error("attach: conf: {0}")]
    SettingsKey(#[from] KeyError),
    /// The settings of an instance are rejected by the balancer.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// An error in the content of an event.
#[derive(Debug, Error)]
pub(crate) enum EventError {
    /// A field that this kind of event requires is missing.
    #[error("{event_kind}: field {field} is missing")]
    MissingField {
        /// The kind of event.
        event_kind: String,
        /// The name of the field.
        field: &'static str,
    },
    /// The value of a field is not one of the known values.
    #[error("{event_kind}: unknown {field} {value:?}")]
    UnknownValue {
        /// The kind of event.
        event_kind: String,
        /// The name of the field.
        field: &'static str,
        /// The value of the field.
        value: String,
    },
    /// The outcome of an attempt or a health check is unknown.
    #[error("unknown rc {0:?}")]
    UnknownOutcome(String),
    /// The kind of event is unknown.
    #[error("unknown message {0:?}")]
    UnknownEventKind(String),
    /// A request id is not a hexadecimal number.
    #[error("{event_kind}: txn {text:?} is not a request id")]
    InvalidRequestId {
        /// The kind of event.
        event_kind: String,
        /// The value of the field.
        text: String,
    },
    /// The event refers to an endpoint table that has not been sent.
    #[error("{event_kind}: no roster {number}")]
    UnknownTable {
        /// The kind of event.
        event_kind: String,
        /// The number of the table.
        number: usize,
    },
    /// The payload of a gossip message cannot be decoded.
    #[error("contents is not base64: {0}")]
    InvalidPayload(#[from] base64::DecodeError),
}
