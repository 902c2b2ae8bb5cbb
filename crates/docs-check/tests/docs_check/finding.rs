//! The findings that checks report.

use std::fmt;

use crate::page::{Page, Reference};

/// A mismatch between a page and the repository.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Finding {
    /// Path of the page, relative to the root of the repository.
    pub(crate) page: String,
    /// Line number in the page, from 1.
    pub(crate) line: usize,
    /// The problem and, where it is not obvious, its solution.
    pub(crate) message: String,
}

impl Finding {
    /// Creates a finding at the line of a reference.
    pub(crate) fn at(page: &Page, reference: &Reference, message: String) -> Self {
        Self {
            page: page.path.clone(),
            line: reference.line,
            message,
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.page, self.line, self.message)
    }
}
