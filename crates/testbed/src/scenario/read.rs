//! Reads a scenario from text and validates it.
//!
//! Keeps the text to find the lines of errors, and keeps the table to create variants for
//! experiments.
//! The steps are in separate modules: `renamed_keys` translates former names, `check` validates
//! ranges and references, and `source_lines` finds keys in the text.

use std::path::Path;

use toml::{Table, Value};

use super::Scenario;
use super::error::{ScenarioError, ScenarioErrors};
use super::key_path::KeyPath;
use super::renamed_keys::{path_in_file, with_current_names};
use super::set_key::set_key;
use super::source_lines::{line_at_offset, line_of_key};

/// A validated scenario with its source, from which experiments create variants.
#[derive(Clone, Debug)]
pub struct ScenarioFile {
    /// The validated scenario.
    pub scenario: Scenario,
    /// Name of the file in messages.
    file: String,
    /// The text as read, without keys that were set later.
    text: String,
    /// The table of the text, with keys that were set later.
    table: Table,
}

impl ScenarioFile {
    /// Reads a scenario file.
    ///
    /// # Errors
    /// Returns all errors in the scenario, or why the file cannot be read.
    pub fn open(path: &Path) -> Result<Self, ScenarioErrors> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| {
            ScenarioErrors::single(&file, ScenarioError::without_key(e.to_string(), None))
        })?;
        Self::read(&file, &text)
    }

    /// Reads a scenario from text; `file` is its name in messages.
    ///
    /// # Errors
    /// Returns all errors in the scenario.
    pub fn read(file: &str, text: &str) -> Result<Self, ScenarioErrors> {
        let table = text.parse::<Table>().map_err(|e| {
            let line = e.span().map(|span| line_at_offset(text, span.start));
            ScenarioErrors::single(file, ScenarioError::without_key(e.message(), line))
        })?;
        Self {
            scenario: Scenario::default(),
            file: file.to_owned(),
            text: text.to_owned(),
            table,
        }
        .validated()
    }

    /// A variant with keys set to other values, such as `sidecars.count` or `fault[0].factor`.
    /// Former names of keys are accepted as well.
    ///
    /// # Errors
    /// Returns the first key that cannot be set, or all errors in the resulting scenario.
    pub fn with_keys_set(&self, changes: &[(String, Value)]) -> Result<Self, ScenarioErrors> {
        let mut variant = self.clone();
        for (key, value) in changes {
            let path = KeyPath::parse(key);
            if let Err(error) = set_key(&mut variant.table, &path, value.clone()) {
                let error_at_key = ScenarioError::at_key(key, error.to_string());
                return Err(variant.with_locations(vec![error_at_key]));
            }
        }
        variant.validated()
    }

    /// Translates the table to the current names of keys, reads the scenario from it, and validates
    /// it.
    fn validated(mut self) -> Result<Self, ScenarioErrors> {
        self.table = with_current_names(self.table.clone()).map_err(|error| {
            let error_at_key = ScenarioError::at_key(error.former.clone(), error.to_string());
            self.with_locations(vec![error_at_key])
        })?;
        let read = serde_path_to_error::deserialize(Value::Table(self.table.clone()));
        self.scenario = read.map_err(|error: serde_path_to_error::Error<toml::de::Error>| {
            let key = error.path().to_string().replace(".[", "[");
            let message = error.inner().message().trim().to_owned();
            self.with_locations(vec![ScenarioError::at_key(key, message)])
        })?;
        let errors = self.scenario.check();
        if errors.is_empty() {
            Ok(self)
        } else {
            Err(self.with_locations(errors))
        }
    }

    /// Adds lines and the key names of the file to errors, and sorts them in the order of the file.
    fn with_locations(&self, mut errors: Vec<ScenarioError>) -> ScenarioErrors {
        let file_table = self.text.parse::<Table>().unwrap_or_default();
        for error in &mut errors {
            let current = KeyPath::parse(&error.key);
            let path = path_in_file(&file_table, &current);
            error.line = line_of_key(&self.text, &path);
            if path != current {
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
