//! Reads the input files of a command: scenarios with their overrides, and reports.
//!
//! Parses `--set` and `--seed`; `scenario` checks the keys and values.

use std::path::Path;

use super::arguments::RunArguments;
use super::error::CliError;
use crate::report::Report;
use crate::scenario::ScenarioFile;

/// Reads the scenario and applies the overrides of `--set` and `--seed`.
///
/// # Errors
/// Returns an error if an override is malformed, or if the scenario is invalid with or without the
/// overrides.
pub(super) fn read_scenario(arguments: &RunArguments) -> Result<ScenarioFile, CliError> {
    let parsed = arguments
        .set
        .iter()
        .map(|argument| parse_override(argument));
    let mut overrides = parsed.collect::<Result<Vec<_>, _>>()?;
    if let Some(seed) = arguments.seed {
        let seed = i64::try_from(seed).map_err(|_| CliError::SeedOutOfRange)?;
        overrides.push(("seed".into(), toml::Value::Integer(seed)));
    }
    let scenario = ScenarioFile::open(&arguments.scenario)?;
    Ok(scenario.with_keys_set(&overrides)?)
}

/// Splits the argument of `--set` into key and value. A value that is not TOML is a string.
fn parse_override(argument: &str) -> Result<(String, toml::Value), CliError> {
    let Some((key, text)) = argument.split_once('=') else {
        let argument = argument.to_owned();
        return Err(CliError::MalformedOverride { argument });
    };
    let parsed = format!("v = {text}").parse::<toml::Table>().ok();
    let value = parsed
        .and_then(|mut table| table.remove("v"))
        .unwrap_or_else(|| toml::Value::String(text.to_owned()));
    Ok((key.to_owned(), value))
}

/// Reads a report, also one written by an earlier version.
///
/// # Errors
/// Returns an error if the file cannot be read or is not a report.
pub(super) fn read_report(path: &Path) -> Result<Report, CliError> {
    let text = std::fs::read_to_string(path).map_err(|source| CliError::ReadReport {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| CliError::ParseReport {
        path: path.to_owned(),
        source,
    })
}
