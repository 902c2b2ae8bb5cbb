//! Reads a scenario: from text to a checked [`Scenario`].
//!
//! Owns the steps, and keeps the text, from which errors get their lines and experiments their
//! variants. Each step is in a module of its own: former names of keys in `renamed_keys`, ranges
//! and references in `check`, places in the text in `source_lines`.

use std::path::Path;

use toml::{Table, Value};

use super::Scenario;
use super::error::{ScenarioError, ScenarioErrors};
use super::key_path::KeyPath;
use super::renamed_keys::{with_present_names, written_path};
use super::set_key::set_key;
use super::source_lines::{line_at, line_of};

/// A scenario as read, with the text it came from, from which experiments draw variants.
#[derive(Clone, Debug)]
pub struct ScenarioFile {
    /// The checked scenario.
    pub scenario: Scenario,
    /// Name of the file in messages.
    file: String,
    /// As it was read, without the keys that were set since.
    text: String,
    /// The text's table, with the keys that were set since.
    table: Table,
}

impl ScenarioFile {
    /// Reads a file.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    pub fn open(path: &Path) -> Result<Self, ScenarioErrors> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| {
            ScenarioErrors::single(&file, ScenarioError::of_text(e.to_string(), None))
        })?;
        Self::read(&file, &text)
    }

    /// Reads a text; `file` is its name in messages.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    pub fn read(file: &str, text: &str) -> Result<Self, ScenarioErrors> {
        let table = text.parse::<Table>().map_err(|e| {
            let line = e.span().map(|span| line_at(text, span.start));
            ScenarioErrors::single(file, ScenarioError::of_text(e.message(), line))
        })?;
        Self {
            scenario: Scenario::default(),
            file: file.to_owned(),
            text: text.to_owned(),
            table,
        }
        .checked()
    }

    /// The same scenario with keys set to other values, such as `sidecars.count` or
    /// `fault[0].factor`. Former names of keys do as well.
    ///
    /// # Errors
    /// A key that cannot be set, or everything that is wrong with what comes of it.
    pub fn with_keys_set(&self, changes: &[(String, Value)]) -> Result<Self, ScenarioErrors> {
        let mut variant = self.clone();
        for (key, value) in changes {
            let path = KeyPath::parse(key);
            if let Err(error) = set_key(&mut variant.table, &path, value.clone()) {
                let named = ScenarioError::at_key(key, error.to_string());
                return Err(variant.located(vec![named]));
            }
        }
        variant.checked()
    }

    /// Brings the table to the present names of keys, reads the scenario from it, and checks it.
    fn checked(mut self) -> Result<Self, ScenarioErrors> {
        self.table = with_present_names(self.table.clone()).map_err(|error| {
            let named = ScenarioError::at_key(error.former.clone(), error.to_string());
            self.located(vec![named])
        })?;
        let read = serde_path_to_error::deserialize(Value::Table(self.table.clone()));
        self.scenario = read.map_err(|error: serde_path_to_error::Error<toml::de::Error>| {
            let key = error.path().to_string().replace(".[", "[");
            let why = error.inner().message().trim().to_owned();
            self.located(vec![ScenarioError::at_key(key, why)])
        })?;
        let errors = self.scenario.check();
        if errors.is_empty() {
            Ok(self)
        } else {
            Err(self.located(errors))
        }
    }

    /// The errors with their keys as the file has them, and their lines, in the order of the file.
    fn located(&self, mut errors: Vec<ScenarioError>) -> ScenarioErrors {
        let written = self.text.parse::<Table>().unwrap_or_default();
        for error in &mut errors {
            let present = KeyPath::parse(&error.key);
            let path = written_path(&written, &present);
            error.line = line_of(&self.text, &path);
            if path != present {
                error.key = path.to_string();
            }
        }
        errors.sort_by_key(|error| error.line.unwrap_or(usize::MAX));
        ScenarioErrors {
            file: self.file.clone(),
            errors,
        }
    }
}
