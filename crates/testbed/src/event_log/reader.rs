//! Reads a stored event log.
//!
//! Owns the splitting into lines and the error that names one; the form of a record is that of
//! `event`.

use super::LogRecord;

/// Why a stored event log cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum EventLogError {
    /// A line is no record of any known version.
    #[error("line {number}: {source}")]
    Line {
        /// Number of the line, from 1.
        number: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

/// Reads a log that was written, by this version or an earlier one. Blank lines are skipped.
///
/// # Errors
/// Names the first line that is no record.
pub fn read(text: &str) -> Result<Vec<LogRecord>, EventLogError> {
    let record = |(index, line)| {
        serde_json::from_str(line).map_err(|source| EventLogError::Line {
            number: index + 1,
            source,
        })
    };
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
        .map(record)
        .collect()
}
