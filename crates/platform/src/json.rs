//! JSON parsing with tinyjson: a parser that limits the nesting depth, and typed access to values
//! with errors that name the key.
//!
//! This module checks the types of values and builds the paths in errors. The reader of each
//! document knows its keys and what their values mean.

mod nesting;
mod stepwise;

use std::collections::HashMap;

use crate::error::{JsonError, KeyError, KeyProblem};

pub use nesting::NestingTracker;
pub use stepwise::StepwiseParser;
pub use tinyjson::JsonValue;

/// Parses a text whose nesting depth is at most `max_depth`, at once. A thread that serves others
/// uses [`StepwiseParser`] for long texts.
///
/// # Errors
/// The text is nested deeper than `max_depth`, or is not JSON.
pub fn parse(text: &str, max_depth: usize) -> Result<JsonValue, JsonError> {
    let mut parser = StepwiseParser::new(text, max_depth);
    loop {
        if let Some(value) = parser.step()? {
            return Ok(value);
        }
    }
}

/// A location in a JSON document: its path, and the value there, if any. A `null` member counts as
/// absent.
#[derive(Clone)]
pub struct Node<'a> {
    path: String,
    value: Option<&'a JsonValue>,
}

impl<'a> Node<'a> {
    /// The root of a document; its path is empty.
    pub fn root(value: &'a JsonValue) -> Self {
        Self {
            path: String::new(),
            value: Some(value),
        }
    }

    /// A value at this path of the document.
    pub fn with_path(path: String, value: &'a JsonValue) -> Self {
        Self {
            path,
            value: Some(value),
        }
    }

    /// The member with this key, present or absent.
    pub fn at(&self, key: &str) -> Self {
        let object = self
            .value
            .and_then(|value| value.get::<HashMap<String, JsonValue>>());
        let value = object
            .and_then(|members| members.get(key))
            .filter(|value| !value.is_null());
        let dot = if self.path.is_empty() { "" } else { "." };
        Self {
            path: format!("{}{dot}{key}", self.path),
            value,
        }
    }

    /// Whether there is a value.
    pub fn is_present(&self) -> bool {
        self.value.is_some()
    }

    /// The path of this node, such as `settings.request-classes[0].objective-ms`.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// An error with the path of this node.
    pub fn error(&self, problem: KeyProblem) -> KeyError {
        KeyError {
            path: self.path.clone(),
            problem,
        }
    }

    /// A number that is finite and not negative.
    ///
    /// # Errors
    /// The value is of another type, negative or not finite.
    pub fn optional_number(&self) -> Result<Option<f64>, KeyError> {
        match self.optional::<f64>(KeyProblem::NotANumber)? {
            Some(number) if !number.is_finite() || number < 0.0 => {
                Err(self.error(KeyProblem::NegativeOrNotFinite))
            }
            number => Ok(number),
        }
    }

    /// Like [`optional_number`](Self::optional_number), but the value is required.
    ///
    /// # Errors
    /// The value is absent, of another type, negative or not finite.
    pub fn number(&self) -> Result<f64, KeyError> {
        self.required(self.optional_number()?)
    }

    /// A string.
    ///
    /// # Errors
    /// The value is of another type.
    pub fn optional_string(&self) -> Result<Option<String>, KeyError> {
        self.optional::<String>(KeyProblem::NotAString)
    }

    /// Like [`optional_string`](Self::optional_string), but the value is required.
    ///
    /// # Errors
    /// The value is absent or of another type.
    pub fn string(&self) -> Result<String, KeyError> {
        self.required(self.optional_string()?)
    }

    /// A boolean.
    ///
    /// # Errors
    /// The value is of another type.
    pub fn optional_boolean(&self) -> Result<Option<bool>, KeyError> {
        self.optional::<bool>(KeyProblem::NotABoolean)
    }

    /// The elements of an array; empty if the value is absent.
    ///
    /// # Errors
    /// The value is of another type.
    pub fn items(&self) -> Result<Vec<Node<'a>>, KeyError> {
        let Some(value) = self.value else {
            return Ok(Vec::new());
        };
        let Some(elements) = value.get::<Vec<JsonValue>>() else {
            return Err(self.error(KeyProblem::NotAnArray));
        };
        let item = |(index, element)| Node {
            path: format!("{}[{index}]", self.path),
            value: Some(element),
        };
        Ok(elements.iter().enumerate().map(item).collect())
    }

    fn optional<T>(&self, problem: KeyProblem) -> Result<Option<T>, KeyError>
    where
        T: Clone + tinyjson::InnerAsRef,
    {
        let Some(value) = self.value else {
            return Ok(None);
        };
        match value.get::<T>() {
            Some(inner) => Ok(Some(inner.clone())),
            None => Err(self.error(problem)),
        }
    }

    fn required<T>(&self, value: Option<T>) -> Result<T, KeyError> {
        value.ok_or_else(|| self.error(KeyProblem::Missing))
    }
}

#[cfg(test)]
mod tests;
