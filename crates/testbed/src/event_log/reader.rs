//! Reads a stored event log, one record per line in the format of `event`.

use super::LogRecord;

/// Why a stored event log cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum EventLogError {
    /// A line is not a record of this or an earlier version.
    #[error("line {number}: {source}")]
    Line {
        /// Number of the line, from 1.
        number: usize,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

/// Parses a log written by this version or an earlier one. Blank lines are skipped.
///
/// # Errors
/// Returns the first line that is not a record.
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
