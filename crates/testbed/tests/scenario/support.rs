//! A small valid scenario, and helpers that read variants of it.

use arrowstand_testbed::scenario::ScenarioFile;

/// File name in the error messages of all texts that are read here.
const FILE_NAME: &str = "small.toml";

/// A small valid scenario.
pub(crate) const VALID_SCENARIO: &str = r#"
name = "small"
seconds = 10.0

[[machine_type]]
name = "std"

[[servers]]
machine_type = "std"
count = 3

[[class]]
name = "job-status"
share = 0.6

[[fault]]
kind = "crash"
at_s = 2.0
for_s = 3.0
servers = ["s1"]
"#;

/// Reads a valid scenario.
pub(crate) fn read_valid(text: &str) -> ScenarioFile {
    ScenarioFile::read(FILE_NAME, text).unwrap_or_else(|errors| panic!("{errors}"))
}

/// A copy of the scenario with one key set to a valid value.
pub(crate) fn with_key(
    scenario: &ScenarioFile,
    key: &str,
    value: impl Into<toml::Value>,
) -> ScenarioFile {
    let variant = scenario.with_keys_set(&[(key.to_owned(), value.into())]);
    variant.unwrap_or_else(|errors| panic!("{errors}"))
}

/// The error message when one key is set to an invalid value.
pub(crate) fn error_message_with_key(
    scenario: &ScenarioFile,
    key: &str,
    value: impl Into<toml::Value>,
) -> String {
    let variant = scenario.with_keys_set(&[(key.to_owned(), value.into())]);
    variant.expect_err(key).to_string()
}

/// The complete error message of an invalid scenario.
pub(crate) fn error_message(text: &str) -> String {
    let result = ScenarioFile::read(FILE_NAME, text);
    result.expect_err("an error in the text").to_string()
}

/// Key and line of each error in a scenario; empty for a valid one.
pub(crate) fn error_keys_and_lines(text: &str) -> Vec<(String, Option<usize>)> {
    match ScenarioFile::read(FILE_NAME, text) {
        Ok(_) => Vec::new(),
        Err(errors) => {
            let errors = errors.errors.into_iter();
            errors.map(|error| (error.key, error.line)).collect()
        }
    }
}

/// Number of the first line that contains `part`, from 1.
pub(crate) fn line_number_of(text: &str, part: &str) -> Option<usize> {
    let position = text.lines().position(|line| line.contains(part));
    position.map(|position| position + 1)
}
