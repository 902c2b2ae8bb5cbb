//! Receivers of events: the trait, a splitter, and a writer of JSON lines.
//!
//! Owns the order in which readers receive a record; where a log is stored is its creator's matter.

use std::io::{self, Write};

use super::LogRecord;

/// Receives records in the order of their times.
pub trait EventSink {
    /// Takes the next record.
    fn record(&mut self, record: &LogRecord);
}

impl EventSink for Vec<LogRecord> {
    fn record(&mut self, record: &LogRecord) {
        self.push(*record);
    }
}

/// Passes each record to the two readers that every run has, and to one more where it is wanted.
pub struct Tee<'a, 'b, A, B> {
    /// Reads each record first.
    pub first: &'a mut A,
    /// Reads each record second.
    pub second: &'a mut B,
    /// Reads each record last, if present.
    pub further: Option<&'b mut dyn EventSink>,
}

impl<A: EventSink, B: EventSink> EventSink for Tee<'_, '_, A, B> {
    fn record(&mut self, record: &LogRecord) {
        self.first.record(record);
        self.second.record(record);
        if let Some(further) = &mut self.further {
            further.record(record);
        }
    }
}

/// Writes one JSON object a line. The first error is kept and returned at the end.
pub struct EventLogWriter<W: Write> {
    out: W,
    error: Option<io::Error>,
}

impl<W: Write> EventLogWriter<W> {
    /// Writes to `out`, which should be buffered.
    pub fn new(out: W) -> Self {
        Self { out, error: None }
    }

    /// Flushes what was written.
    ///
    /// # Errors
    /// The first error of any write.
    pub fn finish(mut self) -> io::Result<()> {
        match self.error.take() {
            Some(error) => Err(error),
            None => self.out.flush(),
        }
    }
}

impl<W: Write> EventSink for EventLogWriter<W> {
    fn record(&mut self, record: &LogRecord) {
        if self.error.is_none() {
            let written = serde_json::to_writer(&mut self.out, record).map_err(io::Error::from);
            self.error = written.and_then(|()| self.out.write_all(b"\n")).err();
        }
    }
}
