//! Writes what the arguments ask for: the event log, and the report as JSON and as a plot.
//!
//! Owns the files; the forms are those of `event_log`, `report` and `plot`.

use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::path::Path;

use super::arguments::PlayArguments;
use super::error::CliError;
use crate::event_log::{EventLogWriter, EventSink};
use crate::plot;
use crate::report::Report;

/// Plays with an event log that is written to a file.
///
/// # Errors
/// Those of `play`, and where the file cannot be written.
pub(super) fn with_event_log(
    path: &Path,
    play: impl FnOnce(&mut dyn EventSink) -> Result<Report, CliError>,
) -> Result<Report, CliError> {
    let file = File::create(path).map_err(CliError::create(path))?;
    let mut writer = EventLogWriter::new(BufWriter::new(file));
    let report = play(&mut writer)?;
    writer.finish().map_err(CliError::write(path))?;
    Ok(report)
}

/// Writes the report to the files that are asked for.
///
/// # Errors
/// Where a file cannot be written.
pub(super) fn write_report(report: &Report, arguments: &PlayArguments) -> Result<(), CliError> {
    if let Some(path) = &arguments.json {
        write_json(report, path)?;
    }
    if let Some(path) = &arguments.svg {
        plot::report(report, path)?;
    }
    Ok(())
}

fn write_json(report: &Report, path: &Path) -> Result<(), CliError> {
    let text = serde_json::to_string_pretty(report)
        .map_err(|e| CliError::write(path)(std::io::Error::from(e)))?;
    let mut file = File::create(path).map_err(CliError::create(path))?;
    writeln!(file, "{text}").map_err(CliError::write(path))
}
