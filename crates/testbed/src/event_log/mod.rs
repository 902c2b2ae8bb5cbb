//! The event log that both engines write, and that the auditor and the statistics read.
//!
//! Owns the form of the log: its events, how they are written and how they are read back, also from
//! logs with the keys of earlier versions. What the events add up to is not decided here.

mod event;
mod reader;
mod state;
mod writer;

#[cfg(test)]
mod tests;

pub use event::{LogEvent, LogRecord};
pub use reader::{EventLogError, read};
pub use state::{ListedStatus, ProcessState, RequestOutcome, ServerState};
pub use writer::{EventLogWriter, EventSink, Tee};
