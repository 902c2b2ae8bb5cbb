//! Reads what the arguments name: scenarios with their changes, and reports.
//!
//! Owns the form of `--set` and `--seed`; what a key takes is decided by `scenario`.

use std::path::Path;

use super::arguments::PlayArguments;
use super::error::CliError;
use crate::report::Report;
use crate::scenario::ScenarioFile;

/// The scenario with the changes that the arguments ask for.
///
/// # Errors
/// What is wrong with the scenario or a change.
pub(super) fn scenario(arguments: &PlayArguments) -> Result<ScenarioFile, CliError> {
    let set = arguments.set.iter().map(|argument| change(argument));
    let mut changes = set.collect::<Result<Vec<_>, _>>()?;
    if let Some(seed) = arguments.seed {
        let seed = i64::try_from(seed).map_err(|_| CliError::SeedTooLarge)?;
        changes.push(("seed".into(), toml::Value::Integer(seed)));
    }
    let scenario = ScenarioFile::open(&arguments.scenario)?;
    Ok(scenario.with_keys_set(&changes)?)
}

/// The key and value of a `--set`; a value that is no TOML is taken as a string.
fn change(argument: &str) -> Result<(String, toml::Value), CliError> {
    let Some((key, text)) = argument.split_once('=') else {
        let argument = argument.to_owned();
        return Err(CliError::SetSyntax { argument });
    };
    let parsed = format!("v = {text}").parse::<toml::Table>().ok();
    let value = parsed
        .and_then(|mut table| table.remove("v"))
        .unwrap_or_else(|| toml::Value::String(text.to_owned()));
    Ok((key.to_owned(), value))
}

/// Reads a report, of this version or an earlier one.
///
/// # Errors
/// Where there is no such file, or it is no report.
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
