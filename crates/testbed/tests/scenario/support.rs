//! A small scenario, and what reading a variant of it gives.

use arrowstand_testbed::scenario::ScenarioFile;

/// Name of the file in the messages of all texts that are read here.
const FILE: &str = "small.toml";

/// A small scenario without an error in it.
pub(crate) const GOOD: &str = r#"
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

/// The scenario of a text without an error.
pub(crate) fn read(text: &str) -> ScenarioFile {
    ScenarioFile::read(FILE, text).unwrap_or_else(|errors| panic!("{errors}"))
}

/// A scenario with one key set to a value that it may have.
pub(crate) fn with_key(
    scenario: &ScenarioFile,
    key: &str,
    value: impl Into<toml::Value>,
) -> ScenarioFile {
    let variant = scenario.with_keys_set(&[(key.to_owned(), value.into())]);
    variant.unwrap_or_else(|errors| panic!("{errors}"))
}

/// The message where one key is set to a value that it must not have.
pub(crate) fn message_with_key(
    scenario: &ScenarioFile,
    key: &str,
    value: impl Into<toml::Value>,
) -> String {
    let variant = scenario.with_keys_set(&[(key.to_owned(), value.into())]);
    variant.expect_err(key).to_string()
}

/// The whole message of a text with errors.
pub(crate) fn message(text: &str) -> String {
    let read = ScenarioFile::read(FILE, text);
    read.expect_err("an error in the text").to_string()
}

/// Keys and lines of what is wrong with a text; nothing for a text without an error.
pub(crate) fn errors(text: &str) -> Vec<(String, Option<usize>)> {
    match ScenarioFile::read(FILE, text) {
        Ok(_) => Vec::new(),
        Err(errors) => {
            let errors = errors.errors.into_iter();
            errors.map(|error| (error.key, error.line)).collect()
        }
    }
}

/// The first line of a text that contains something, counted from 1.
pub(crate) fn line(text: &str, part: &str) -> Option<usize> {
    let position = text.lines().position(|line| line.contains(part));
    position.map(|position| position + 1)
}
