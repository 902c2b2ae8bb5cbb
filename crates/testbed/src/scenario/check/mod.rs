//! Validates what the types of the keys do not ensure: ranges, references by name, and conflicts in
//! the fault schedule.
//!
//! Errors use the current names of keys; `read` adds lines and the names in the file. Errors on the
//! same line are reported in the order of the checks, so changing the order changes the output.

mod faults;
mod fleet;
mod settings;
mod traffic;

use std::collections::BTreeSet;

use super::{Scenario, ScenarioError};

/// Collects errors in the order of the checks.
#[derive(Default)]
struct Checker {
    errors: Vec<ScenarioError>,
}

impl Checker {
    /// Records an error at a key unless the condition holds.
    fn require(&mut self, holds: bool, key: impl Into<String>, message: impl Into<String>) {
        if !holds {
            self.errors.push(ScenarioError::at_key(key, message));
        }
    }

    /// Records an error unless the value is finite and above zero.
    fn positive(&mut self, value: f64, key: impl Into<String>) {
        let holds = value.is_finite() && value > 0.0;
        self.require(holds, key, "must be above zero");
    }

    /// Records an error unless the value is finite and at least zero.
    fn not_negative(&mut self, value: f64, key: impl Into<String>) {
        let holds = value.is_finite() && value >= 0.0;
        self.require(holds, key, "must not be negative");
    }

    /// Records an error unless the value lies between 0 and 1, both included.
    fn share(&mut self, value: f64, key: impl Into<String>) {
        let holds = (0.0..=1.0).contains(&value);
        self.require(holds, key, "must lie between 0 and 1");
    }

    /// Records an error for each name of a list's items that is empty or given twice.
    fn unique_names<'a>(&mut self, names: impl Iterator<Item = &'a str>, list: &str) {
        let mut seen = BTreeSet::new();
        for (i, name) in names.enumerate() {
            let key = format!("{list}[{i}].name");
            self.require(!name.is_empty(), key.as_str(), "must not be empty");
            let is_new = seen.insert(name);
            self.require(is_new, key, format!("the name {name:?} is used twice"));
        }
    }
}

impl Scenario {
    /// Returns all errors, with the current names of keys and without lines.
    pub fn check(&self) -> Vec<ScenarioError> {
        let mut checker = Checker::default();
        checker.positive(self.seconds, "seconds");
        self.check_fleet(&mut checker);
        self.check_traffic(&mut checker);
        self.check_settings(&mut checker);
        self.check_faults(&mut checker);
        checker.errors
    }
}
