//! Writes the output files of a run: the event log, and the report as JSON and as a plot.
//!
//! Opens the files; `event_log`, `report` and `plot` define the formats.

use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::path::Path;

use super::arguments::RunArguments;
use super::error::CliError;
use crate::event_log::{EventLogWriter, EventSink};
use crate::plot;
use crate::report::Report;

/// Calls `run` with an event log that is written to the file `path`.
///
/// # Errors
/// Returns an error if `run` fails or the file cannot be written.
pub(super) fn with_event_log(
    path: &Path,
    run: impl FnOnce(&mut dyn EventSink) -> Result<Report, CliError>,
) -> Result<Report, CliError> {
    let file = File::create(path).map_err(CliError::create(path))?;
    let mut writer = EventLogWriter::new(BufWriter::new(file));
    let report = run(&mut writer)?;
    writer.finish().map_err(CliError::write(path))?;
    Ok(report)
}

/// Writes the report to the files given by `--json` and `--svg`.
///
/// # Errors
/// Returns an error if a file cannot be written.
pub(super) fn write_report(report: &Report, arguments: &RunArguments) -> Result<(), CliError> {
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
