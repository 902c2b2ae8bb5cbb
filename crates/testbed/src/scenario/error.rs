//! Errors in a scenario, with file, line and key.
//!
//! The texts come from `check`, from serde and from the TOML parser; `read` adds the lines and the
//! key names of the file.

use std::fmt;

/// One error in a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// Path of the key as in the file, such as `fault[2].at_s`; empty for an error of the whole
    /// text.
    pub key: String,
    /// Text of the error.
    pub message: String,
    /// Line in the file, from 1; absent if the key is not in the file.
    pub line: Option<usize>,
}

impl ScenarioError {
    /// Creates an error at a key; `read` adds the line later.
    pub(super) fn at_key(key: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            message: message.into(),
            line: None,
        }
    }

    /// Creates an error of the whole text, with its line if known.
    pub(super) fn without_key(message: impl Into<String>, line: Option<usize>) -> Self {
        Self {
            key: String::new(),
            message: message.into(),
            line,
        }
    }
}

impl fmt::Display for ScenarioError {
    /// Formats the part of the message after the file name.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        f.write_str(": ")?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

/// All errors in a scenario, in the order of the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ScenarioErrors {
    /// Name of the file as given to the reader.
    pub file: String,
    /// The errors; at least one.
    pub errors: Vec<ScenarioError>,
}

impl ScenarioErrors {
    /// Creates a list of one error.
    pub(super) fn single(file: &str, error: ScenarioError) -> Self {
        Self {
            file: file.to_owned(),
            errors: vec![error],
        }
    }
}

impl fmt::Display for ScenarioErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.errors.iter().enumerate() {
            let gap = if i > 0 { "\n" } else { "" };
            write!(f, "{gap}{}{error}", self.file)?;
        }
        Ok(())
    }
}
