//! Sinks of records: the trait, a tee, and a writer of JSON lines.

use std::io::{self, Write};

use super::LogRecord;

/// Receives records in chronological order.
pub trait EventSink {
    /// Receives the next record.
    fn record(&mut self, record: &LogRecord);
}

impl EventSink for Vec<LogRecord> {
    fn record(&mut self, record: &LogRecord) {
        self.push(*record);
    }
}

/// Passes each record to the two sinks that every run has, and to an optional third one.
pub struct Tee<'a, 'b, A, B> {
    /// Receives each record first.
    pub first: &'a mut A,
    /// Receives each record second.
    pub second: &'a mut B,
    /// Receives each record last, if present.
    pub third: Option<&'b mut dyn EventSink>,
}

impl<A: EventSink, B: EventSink> EventSink for Tee<'_, '_, A, B> {
    fn record(&mut self, record: &LogRecord) {
        self.first.record(record);
        self.second.record(record);
        if let Some(third) = &mut self.third {
            third.record(record);
        }
    }
}

/// Writes one JSON object per line. After the first write error it writes nothing more; `finish`
/// returns that error.
pub struct EventLogWriter<W: Write> {
    out: W,
    error: Option<io::Error>,
}

impl<W: Write> EventLogWriter<W> {
    /// Creates a writer to `out`, which should be buffered.
    pub fn new(out: W) -> Self {
        Self { out, error: None }
    }

    /// Flushes the output.
    ///
    /// # Errors
    /// Returns the first error of any write, or the error of the flush.
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
