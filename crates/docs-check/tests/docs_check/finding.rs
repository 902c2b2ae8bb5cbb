//! What a check reports.

use std::fmt;

use crate::page::{Page, Reference};

/// One disagreement between a page and the repository.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Finding {
    /// Path of the page, from the root of the repository.
    pub(crate) page: String,
    /// Line of the page, from 1.
    pub(crate) line: usize,
    /// What is wrong, and what to do about it.
    pub(crate) message: String,
}

impl Finding {
    /// A finding at a reference of a page.
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
