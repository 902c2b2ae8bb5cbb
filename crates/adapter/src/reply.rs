//! The output of the line protocol: the actions of one reply, written as JSON into one reused
//! buffer.
//!
//! Owns the syntax; the fields of each action are known by the host's encoder.

use std::fmt::{Display, Write as _};

use arrowstand_balancer::Micros;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;

/// What every reply begins with.
const OPENING: &str = "{\"out\":[";
/// What every reply ends with: a reply is one line.
const CLOSING: &str = "]}\n";
/// Microseconds in a millisecond, the simulator's unit of time.
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Collects the actions of one reply.
pub(crate) struct Reply {
    text: String,
}

impl Reply {
    /// An empty reply.
    pub(crate) fn new() -> Self {
        Self {
            text: String::from(OPENING),
        }
    }

    /// Drops all actions and keeps the buffer.
    pub(crate) fn clear(&mut self) {
        self.text.truncate(OPENING.len());
    }

    /// Closes the reply and returns its line. [`clear`](Self::clear) comes next.
    pub(crate) fn line(&mut self) -> &str {
        if self.text.ends_with(',') {
            self.text.pop();
        }
        self.text.push_str(CLOSING);
        &self.text
    }

    /// Begins an action; its further fields follow, then [`end`](Self::end).
    pub(crate) fn begin(&mut self, msg: &str, instance: &str) -> &mut Self {
        let _ = write!(self.text, "{{\"msg\":\"{msg}\",\"i\":\"{instance}\"");
        self
    }

    /// Adds a field whose text needs no escaping.
    pub(crate) fn text(&mut self, name: &str, value: &str) -> &mut Self {
        let _ = write!(self.text, ",\"{name}\":\"{value}\"");
        self
    }

    /// Adds a request id.
    pub(crate) fn id(&mut self, id: u64) -> &mut Self {
        let _ = write!(self.text, ",\"txn\":\"{id:016x}\"");
        self
    }

    /// Adds a field whose value is a number or a boolean.
    pub(crate) fn number(&mut self, name: &str, value: impl Display) -> &mut Self {
        let _ = write!(self.text, ",\"{name}\":{value}");
        self
    }

    /// Adds a time in milliseconds, with three decimals.
    pub(crate) fn millis(&mut self, name: &str, value: Micros) -> &mut Self {
        let whole = value / MICROS_PER_MILLISECOND;
        let fraction = value % MICROS_PER_MILLISECOND;
        let _ = write!(self.text, ",\"{name}\":{whole}.{fraction:03}");
        self
    }

    /// Adds a time as [`millis`](Self::millis) does, or nothing.
    pub(crate) fn optional_millis(&mut self, name: &str, value: Option<Micros>) -> &mut Self {
        if let Some(value) = value {
            self.millis(name, value);
        }
        self
    }

    /// Adds the payload of a gossip message.
    pub(crate) fn payload(&mut self, bytes: &[u8]) -> &mut Self {
        self.text.push_str(",\"contents\":\"");
        STANDARD.encode_string(bytes, &mut self.text);
        self.text.push('"');
        self
    }

    /// Ends an action.
    pub(crate) fn end(&mut self) {
        self.text.push_str("},");
    }
}
