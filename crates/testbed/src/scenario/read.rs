//! Reads a scenario: from text to a checked day, with faults that name file, line and key.

use std::fmt;
use std::path::Path;

use serde::Deserialize as _;
use toml_edit::{Document, Item, Value};

use super::Scenario;

/// One thing wrong with a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// The key, such as `trouble[2].at_s`; empty for a fault of the whole text.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
    /// Line in the file, from 1; absent where the key is not in the file.
    pub line: Option<usize>,
}

/// Everything wrong with a scenario, in the order of the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ScenarioErrors {
    /// Where it came from.
    pub file: String,
    /// At least one.
    pub faults: Vec<ScenarioError>,
}

impl fmt::Display for ScenarioErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            let gap = if i > 0 { "\n" } else { "" };
            let line = fault.line.map(|l| format!(":{l}")).unwrap_or_default();
            let key = if fault.key.is_empty() {
                String::new()
            } else {
                format!("{}: ", fault.key)
            };
            write!(f, "{gap}{}{line}: {key}{}", self.file, fault.why)?;
        }
        Ok(())
    }
}

/// A scenario as read: the day, and the text it came from, from which experiments draw variants.
#[derive(Clone, Debug)]
pub struct ScenarioFile {
    /// The checked day.
    pub day: Scenario,
    file: String,
    text: String,
    table: toml::Table,
}

impl ScenarioFile {
    /// Reads a file.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    pub fn open(path: &Path) -> Result<Self, ScenarioErrors> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ScenarioErrors {
            file: file.clone(),
            faults: vec![ScenarioError {
                key: String::new(),
                why: e.to_string(),
                line: None,
            }],
        })?;
        Self::read(&file, &text)
    }

    /// Reads a text; `file` is its name in messages.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    pub fn read(file: &str, text: &str) -> Result<Self, ScenarioErrors> {
        let table = text.parse::<toml::Table>().map_err(|e| {
            let line = e.span().map(|s| line_at(text, s.start));
            let why = e.message().to_owned();
            ScenarioErrors {
                file: file.to_owned(),
                faults: vec![ScenarioError {
                    key: String::new(),
                    why,
                    line,
                }],
            }
        })?;
        Self {
            day: Scenario::default(),
            file: file.to_owned(),
            text: text.to_owned(),
            table,
        }
        .judged()
    }

    /// The same scenario with keys set to other values, such as `sidecars.count` or `trouble[0].times`.
    ///
    /// # Errors
    /// A key that cannot be set, or everything that is wrong with what comes of it.
    pub fn with(&self, changes: &[(String, toml::Value)]) -> Result<Self, ScenarioErrors> {
        let mut new = self.clone();
        for (key, value) in changes {
            set(&mut new.table, key, value.clone()).map_err(|why| {
                new.faults(vec![ScenarioError {
                    key: key.clone(),
                    why,
                    line: None,
                }])
            })?;
        }
        new.judged()
    }

    fn judged(mut self) -> Result<Self, ScenarioErrors> {
        let read: Result<Scenario, _> =
            serde_path_to_error::deserialize(toml::Value::Table(self.table.clone()));
        self.day = read.map_err(|e| {
            let key = e.path().to_string().replace(".[", "[");
            let why = e.inner().message().trim().to_owned();
            self.faults(vec![ScenarioError {
                key,
                why,
                line: None,
            }])
        })?;
        let faults = self.day.check();
        if faults.is_empty() {
            Ok(self)
        } else {
            Err(self.faults(faults))
        }
    }

    fn faults(&self, mut faults: Vec<ScenarioError>) -> ScenarioErrors {
        for fault in &mut faults {
            fault.line = line_of(&self.text, &fault.key);
        }
        faults.sort_by_key(|f| f.line.unwrap_or(usize::MAX));
        ScenarioErrors {
            file: self.file.clone(),
            faults,
        }
    }
}

impl Scenario {
    /// A day from a table, unchecked.
    ///
    /// # Errors
    /// What serde says of it.
    pub fn from_table(table: toml::Table) -> Result<Self, toml::de::Error> {
        Self::deserialize(toml::Value::Table(table))
    }
}

fn line_at(text: &str, byte: usize) -> usize {
    text.as_bytes()
        .iter()
        .take(byte)
        .filter(|&&b| b == b'\n')
        .count()
        + 1
}

/// `trouble[2].at_s` as `trouble`, `2`, `at_s`.
fn parts(key: &str) -> Vec<String> {
    key.replace('[', ".")
        .replace(']', "")
        .split('.')
        .map(str::to_owned)
        .collect()
}

/// The line of a key, or of the nearest thing around it that the file names.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let document = Document::parse(text).ok()?;
    let mut item: &Item = document.as_item();
    let mut line = None;
    for part in parts(key) {
        let number = part.parse::<usize>().ok();
        let next = match (item, number) {
            (Item::ArrayOfTables(tables), Some(n)) => {
                let table = tables.get(n)?;
                line = table.span().map(|s| line_at(text, s.start)).or(line);
                let mut found = None;
                // The rest of the key lies within this table.
                let rest: Vec<String> = parts(key)
                    .into_iter()
                    .skip_while(|p| *p != part)
                    .skip(1)
                    .collect();
                if let Some(first) = rest.first() {
                    found = table
                        .get_key_value(first)
                        .map(|(k, v)| (k.span().or(v.span()), v));
                }
                if let Some((span, _)) = found {
                    line = span.map(|s| line_at(text, s.start)).or(line);
                }
                return line;
            }
            (Item::Value(Value::Array(array)), Some(n)) => {
                let value = array.get(n)?;
                return value.span().map(|s| line_at(text, s.start)).or(line);
            }
            (item, _) => item.as_table_like().and_then(|t| t.get_key_value(&part)),
        };
        let Some((found, inner)) = next else {
            return line;
        };
        line = found
            .span()
            .or(inner.span())
            .map(|s| line_at(text, s.start))
            .or(line);
        item = inner;
    }
    line
}

fn set(table: &mut toml::Table, key: &str, value: toml::Value) -> Result<(), String> {
    let parts = parts(key);
    let Some((last, path)) = parts.split_last() else {
        return Err("is empty".into());
    };
    let mut at = table;
    let mut path = path.iter().peekable();
    while let Some(part) = path.next() {
        let inner = at
            .entry(part.clone())
            .or_insert_with(|| toml::Value::Table(toml::Table::new()));
        let number = path.peek().and_then(|p| p.parse::<usize>().ok());
        at = match (inner, number) {
            (toml::Value::Array(list), Some(n)) => {
                path.next();
                let item = list
                    .get_mut(n)
                    .ok_or_else(|| format!("there is no {part}[{n}]"))?;
                item.as_table_mut()
                    .ok_or_else(|| format!("{part}[{n}] is no table"))?
            }
            (toml::Value::Table(inner), None) => inner,
            _ => return Err(format!("{part} is no table")),
        };
    }
    at.insert(last.clone(), value);
    Ok(())
}
