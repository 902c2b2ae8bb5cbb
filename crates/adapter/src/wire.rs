//! The input of the line protocol: batches of events, borrowed from their line.
//!
//! Owns the names of the fields. What an event means is known by the host; the settings of an
//! instance are read by `arrowstand-platform`.

use serde::Deserialize;

use crate::error::EventError;

/// One line of input.
#[derive(Deserialize)]
pub(crate) struct Batch<'a> {
    /// Time of the events in milliseconds.
    #[serde(rename = "clock-ms")]
    pub(crate) clock: f64,
    /// The events in their order.
    #[serde(borrow)]
    pub(crate) arrivals: Vec<Arrival<'a>>,
}

/// One event. All kinds share this shape, since a tagged enum would copy each event first: of the
/// fields behind `msg`, each kind has its own.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Arrival<'a> {
    /// The kind of event.
    pub(crate) msg: &'a str,
    /// Name of the instance that it is for.
    pub(crate) i: Option<&'a str>,
    /// Seed of an instance's random draws.
    pub(crate) random_seed: Option<u64>,
    /// Settings of an instance.
    pub(crate) conf: Option<Box<serde_json::Value>>,
    /// Number of an endpoint table.
    pub(crate) table: Option<usize>,
    /// Entries of an endpoint table.
    #[serde(borrow)]
    pub(crate) members_list: Option<Vec<Entry<'a>>>,
    /// Whether an endpoint table is whole, a change or cached.
    pub(crate) kind: Option<&'a str>,
    /// Version of the endpoint list.
    pub(crate) r#gen: Option<u64>,
    /// Id of a request, in hexadecimal digits.
    pub(crate) txn: Option<&'a str>,
    /// Name of a request class.
    pub(crate) grade: Option<&'a str>,
    /// Time until the client's deadline, in milliseconds.
    pub(crate) left_ms: Option<f64>,
    /// Expected work of a request, in milliseconds on an average core.
    pub(crate) size_hint_ms: Option<f64>,
    /// Number of an attempt, in the order of the sends.
    pub(crate) n: Option<u32>,
    /// Name of a server.
    pub(crate) server: Option<&'a str>,
    /// Outcome of an attempt or a health check.
    pub(crate) rc: Option<&'a str>,
    /// The request has its final response.
    pub(crate) finished: Option<bool>,
    /// Time since an attempt was sent, in milliseconds.
    pub(crate) time_taken_ms: Option<f64>,
    /// Load report of a server; the settings say what stands where.
    pub(crate) stats: Option<Vec<Option<f64>>>,
    /// Token of a timer.
    pub(crate) cookie: Option<u64>,
    /// Number of the balancer that sent a gossip message.
    pub(crate) by: Option<u32>,
    /// Payload of a gossip message, in base64.
    pub(crate) contents: Option<&'a str>,
}

impl Arrival<'_> {
    /// The value of a field that this kind of event needs.
    ///
    /// # Errors
    /// The field is absent.
    pub(crate) fn required<T>(
        &self,
        value: Option<T>,
        field: &'static str,
    ) -> Result<T, EventError> {
        value.ok_or_else(|| EventError::MissingField {
            message: self.msg.to_owned(),
            field,
        })
    }

    /// The error on a field whose value is unknown.
    pub(crate) fn unknown_value(&self, field: &'static str, value: &str) -> EventError {
        EventError::UnknownValue {
            message: self.msg.to_owned(),
            field,
            value: value.to_owned(),
        }
    }
}

/// One entry of an endpoint table.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Entry<'a> {
    /// Time of the server's latest start in milliseconds; absent or 0 if long ago.
    pub(crate) launched_ms: Option<f64>,
    /// Whether the server may be sent requests.
    pub(crate) condition: &'a str,
    /// Name of the server.
    pub(crate) server: &'a str,
    /// Number of its deployment cell.
    pub(crate) pod: Option<u32>,
    /// Name of its zone.
    pub(crate) area: Option<&'a str>,
    /// The platform's name for its machine type.
    pub(crate) model: Option<&'a str>,
}
