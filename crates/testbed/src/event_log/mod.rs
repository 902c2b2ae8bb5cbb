//! The event log that both engines write, and that the auditor and the statistics read.
//!
//! Defines the events, writes them as one JSON object per line, and reads them back, including logs
//! with the keys of earlier versions. The auditor and the statistics interpret the events.

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
