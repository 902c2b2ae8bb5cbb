//! The input of the line protocol: batches of events that borrow from their line.
//!
//! Each field has a descriptive name here and its protocol name in the attribute. The host
//! interprets the events; `arrowstand-platform` reads the settings of an instance.

use serde::Deserialize;

use crate::error::EventError;

/// One line of input.
#[derive(Deserialize)]
pub(crate) struct Batch<'a> {
    /// Time of the events in milliseconds.
    #[serde(rename = "clock-ms")]
    pub(crate) clock_ms: f64,
    /// The events in order.
    #[serde(borrow, rename = "arrivals")]
    pub(crate) events: Vec<EventMessage<'a>>,
}

/// One event. All kinds of event share this struct because deserializing a tagged enum would copy
/// each event first. Each kind uses its own subset of the optional fields.
#[derive(Deserialize)]
pub(crate) struct EventMessage<'a> {
    /// The kind of event.
    #[serde(rename = "msg")]
    pub(crate) kind: &'a str,
    /// Name of the target instance.
    #[serde(rename = "i")]
    pub(crate) instance: Option<&'a str>,
    /// Seed of an instance's random number generator.
    #[serde(rename = "random-seed")]
    pub(crate) seed: Option<u64>,
    /// Settings of an instance.
    #[serde(rename = "conf")]
    pub(crate) settings: Option<Box<serde_json::Value>>,
    /// Number of an endpoint table.
    pub(crate) table: Option<usize>,
    /// Servers of an endpoint table.
    #[serde(borrow, rename = "members-list")]
    pub(crate) rows: Option<Vec<TableRow<'a>>>,
    /// Whether an endpoint table is full, incremental or cached, or the endpoint list was lost.
    #[serde(rename = "kind")]
    pub(crate) update_kind: Option<&'a str>,
    /// Version of the endpoint list.
    #[serde(rename = "gen")]
    pub(crate) version: Option<u64>,
    /// Id of a request in hexadecimal.
    #[serde(rename = "txn")]
    pub(crate) request: Option<&'a str>,
    /// Name of a request class.
    #[serde(rename = "grade")]
    pub(crate) class: Option<&'a str>,
    /// Time until the client's deadline, in milliseconds.
    #[serde(rename = "left-ms")]
    pub(crate) time_left_ms: Option<f64>,
    /// The client's estimate of a request's execution time on a standard core, in milliseconds.
    #[serde(rename = "size-hint-ms")]
    pub(crate) work_hint_ms: Option<f64>,
    /// Number of an attempt, from 0 in the order in which attempts are sent.
    #[serde(rename = "n")]
    pub(crate) attempt: Option<u32>,
    /// Name of a server.
    pub(crate) server: Option<&'a str>,
    /// Outcome of an attempt or a health check.
    #[serde(rename = "rc")]
    pub(crate) outcome: Option<&'a str>,
    /// Whether the request has its final response.
    pub(crate) finished: Option<bool>,
    /// Time since an attempt was sent, in milliseconds.
    #[serde(rename = "time-taken-ms")]
    pub(crate) elapsed_ms: Option<f64>,
    /// Load report of a server; the settings define the order of its columns.
    #[serde(rename = "stats")]
    pub(crate) load_report: Option<Vec<Option<f64>>>,
    /// Token of a timer.
    #[serde(rename = "cookie")]
    pub(crate) timer_token: Option<u64>,
    /// Number of the balancer that sent a gossip message.
    #[serde(rename = "by")]
    pub(crate) sender: Option<u32>,
    /// Payload of a gossip message, in base64.
    #[serde(rename = "contents")]
    pub(crate) payload: Option<&'a str>,
}

impl EventMessage<'_> {
    /// Returns the value of a field that this kind of event requires.
    ///
    /// # Errors
    /// Returns an error if the field is missing.
    pub(crate) fn required<T>(
        &self,
        value: Option<T>,
        field: &'static str,
    ) -> Result<T, EventError> {
        value.ok_or_else(|| EventError::MissingField {
            event_kind: self.kind.to_owned(),
            field,
        })
    }

    /// Creates the error for a field with an unknown value.
    pub(crate) fn unknown_value(&self, field: &'static str, value: &str) -> EventError {
        EventError::UnknownValue {
            event_kind: self.kind.to_owned(),
            field,
            value: value.to_owned(),
        }
    }
}

/// One server of an endpoint table.
#[derive(Deserialize)]
pub(crate) struct TableRow<'a> {
    /// Time of the server's latest start in milliseconds; absent or 0 if it is long past.
    #[serde(rename = "launched-ms")]
    pub(crate) started_at_ms: Option<f64>,
    /// Whether the server is in service, draining or removed.
    #[serde(rename = "condition")]
    pub(crate) status: &'a str,
    /// Name of the server.
    pub(crate) server: &'a str,
    /// Number of its deployment cell.
    #[serde(rename = "pod")]
    pub(crate) cell: Option<u32>,
    /// Name of its zone.
    #[serde(rename = "area")]
    pub(crate) zone: Option<&'a str>,
    /// Model name of its machine type.
    #[serde(rename = "model")]
    pub(crate) machine_type: Option<&'a str>,
}
