//! Pages can be read in a terminal.

use crate::allowed_names::PAGES_OF_FORMER_NAMES;
use crate::finding::Finding;
use crate::page::Page;
use crate::repository::Repository;

/// Columns of prose.
const MAX_PROSE_WIDTH: usize = 100;
/// Columns of tables and code blocks, which cannot always be wrapped.
const MAX_TABLE_WIDTH: usize = 120;

/// Checks the width of all lines of all pages but those of history.
pub(crate) fn check(repository: &Repository) -> Vec<Finding> {
    let is_checked = |page: &&Page| {
        !PAGES_OF_FORMER_NAMES
            .iter()
            .any(|prefix| page.path.starts_with(prefix))
    };
    repository
        .pages
        .iter()
        .filter(is_checked)
        .flat_map(check_page)
        .collect()
}

fn check_page(page: &Page) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, line) in page.lines.iter().enumerate() {
        let number = index + 1;
        let is_table =
            line.trim_start().starts_with('|') || page.code_block_lines.contains(&number);
        let bound = if is_table {
            MAX_TABLE_WIDTH
        } else {
            MAX_PROSE_WIDTH
        };
        let width = line.chars().count();
        if width > bound {
            let message = format!("{width} columns, {bound} at most");
            findings.push(Finding {
                page: page.path.clone(),
                line: number,
                message,
            });
        }
    }
    findings
}
