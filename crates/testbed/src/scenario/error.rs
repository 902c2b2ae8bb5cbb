//! What is wrong with a scenario: errors that name file, line and key.
//!
//! Owns the form of the messages. Their texts come from `check`, from serde and from TOML's parser,
//! and lines and names as the file has them from `read`.

use std::fmt;

/// One thing wrong with a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// The key as the file has it, such as `fault[2].at_s`; empty for an error of the whole text.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
    /// Line in the file, from 1; absent where the key is not in the file.
    pub line: Option<usize>,
}

impl ScenarioError {
    /// An error at a key; its line is not known yet.
    pub(super) fn at_key(key: impl Into<String>, why: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            why: why.into(),
            line: None,
        }
    }

    /// An error of the whole text, at a line where one is known.
    pub(super) fn of_text(why: impl Into<String>, line: Option<usize>) -> Self {
        Self {
            key: String::new(),
            why: why.into(),
            line,
        }
    }
}

impl fmt::Display for ScenarioError {
    /// What follows the file's name in a message.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        f.write_str(": ")?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.why)
    }
}

/// Everything wrong with a scenario, in the order of the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ScenarioErrors {
    /// Name of the file, as the reader was given it.
    pub file: String,
    /// The errors; at least one.
    pub errors: Vec<ScenarioError>,
}

impl ScenarioErrors {
    /// One error of a file.
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
