//! The output of the line protocol: a reply is one line of JSON with a list of actions, written
//! into a reused buffer.
//!
//! This module writes the syntax; the host's encoder chooses the fields of each action.

use std::fmt::{Display, Write as _};

use arrowstand_balancer::Micros;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;

/// Start of every reply.
const PREFIX: &str = "{\"out\":[";
/// End of every reply, including the line break.
const SUFFIX: &str = "]}\n";
/// Microseconds per millisecond, the simulator's unit of time.
const MICROS_PER_MS: Micros = 1_000;

/// Builder of one reply.
pub(crate) struct Reply {
    buffer: String,
}

impl Reply {
    /// Creates an empty reply.
    pub(crate) fn new() -> Self {
        Self {
            buffer: String::from(PREFIX),
        }
    }

    /// Removes all actions and keeps the allocation.
    pub(crate) fn clear(&mut self) {
        self.buffer.truncate(PREFIX.len());
    }

    /// Completes the reply and returns its line. Call [`clear`](Self::clear) before adding further
    /// actions.
    pub(crate) fn finish(&mut self) -> &str {
        if self.buffer.ends_with(',') {
            self.buffer.pop();
        }
        self.buffer.push_str(SUFFIX);
        &self.buffer
    }

    /// Starts an action. Add its other fields, then call [`end_action`](Self::end_action).
    pub(crate) fn begin_action(&mut self, action: &str, instance: &str) -> &mut Self {
        let _ = write!(self.buffer, "{{\"msg\":\"{action}\",\"i\":\"{instance}\"");
        self
    }

    /// Adds a string field. The value must not need escaping.
    pub(crate) fn string(&mut self, name: &str, value: &str) -> &mut Self {
        let _ = write!(self.buffer, ",\"{name}\":\"{value}\"");
        self
    }

    /// Adds a request id.
    pub(crate) fn request_id(&mut self, id: u64) -> &mut Self {
        let _ = write!(self.buffer, ",\"txn\":\"{id:016x}\"");
        self
    }

    /// Adds a field with a number or a boolean.
    pub(crate) fn scalar(&mut self, name: &str, value: impl Display) -> &mut Self {
        let _ = write!(self.buffer, ",\"{name}\":{value}");
        self
    }

    /// Adds a time in milliseconds with three decimals.
    pub(crate) fn millis(&mut self, name: &str, value: Micros) -> &mut Self {
        let whole = value / MICROS_PER_MS;
        let fraction = value % MICROS_PER_MS;
        let _ = write!(self.buffer, ",\"{name}\":{whole}.{fraction:03}");
        self
    }

    /// Adds a time as [`millis`](Self::millis) does, if there is one.
    pub(crate) fn optional_millis(&mut self, name: &str, value: Option<Micros>) -> &mut Self {
        if let Some(value) = value {
            self.millis(name, value);
        }
        self
    }

    /// Adds the payload of a gossip message.
    pub(crate) fn payload(&mut self, bytes: &[u8]) -> &mut Self {
        self.buffer.push_str(",\"contents\":\"");
        STANDARD.encode_string(bytes, &mut self.buffer);
        self.buffer.push('"');
        self
    }

    /// Ends an action.
    pub(crate) fn end_action(&mut self) {
        self.buffer.push_str("},");
    }
}
