//! Checks that pages can be read in a terminal without wrapped lines.

use crate::allowed_names::HISTORY_PAGE_PREFIXES;
use crate::finding::Finding;
use crate::page::Page;
use crate::repository::Repository;

/// Maximum width of prose, in columns.
const MAX_PROSE_WIDTH: usize = 100;
/// Maximum width of tables and code blocks, which cannot always be wrapped, in columns.
const MAX_TABLE_WIDTH: usize = 120;

/// Checks the width of all lines of all pages except history pages.
pub(crate) fn check(repository: &Repository) -> Vec<Finding> {
    let is_checked = |page: &&Page| {
        !HISTORY_PAGE_PREFIXES
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
        let is_table_or_code =
            line.trim_start().starts_with('|') || page.code_block_lines.contains(&number);
        let max_width = if is_table_or_code {
            MAX_TABLE_WIDTH
        } else {
            MAX_PROSE_WIDTH
        };
        let width = line.chars().count();
        if width > max_width {
            let message = format!("{width} columns, {max_width} at most");
            findings.push(Finding {
                page: page.path.clone(),
                line: number,
                message,
            });
        }
    }
    findings
}
