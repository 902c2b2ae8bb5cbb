//! Checks that items named in the code of pages exist in the source.

use crate::allowed_names::{ALLOWED_NAMES, HISTORY_PAGE_PREFIXES};
use crate::finding::Finding;
use crate::page::{Page, Reference};
use crate::repository::{Repository, matches_pattern};
use crate::source_file::SourceFile;

/// The page whose tables list former names next to current ones.
const CHANGELOG: &str = "CHANGELOG.md";

/// Checks the item names in the code of all pages. All segments of a path such as
/// `Balancer::handle` have to occur in the same source file or in that file's path. If the last
/// segment is a function or field, this file has to define it.
pub(crate) fn check(repository: &Repository) -> Vec<Finding> {
    let is_checked = |page: &&Page| {
        !HISTORY_PAGE_PREFIXES
            .iter()
            .any(|prefix| page.path.starts_with(prefix))
    };
    let pages = repository.pages.iter().filter(is_checked);
    pages
        .flat_map(|page| check_page(repository, page))
        .collect()
}

/// Reports each allowed name that exists in the source and therefore needs no exception.
pub(crate) fn check_allowed_names(repository: &Repository) -> Vec<Finding> {
    let unnecessary = ALLOWED_NAMES
        .iter()
        .filter(|(name, _)| has_item(repository, name));
    unnecessary
        .map(|(name, _)| Finding {
            page: "crates/docs-check/tests/docs_check/allowed_names.rs".to_owned(),
            line: 1,
            message: format!("`{name}` exists in the source; remove it from ALLOWED_NAMES"),
        })
        .collect()
}

fn check_page(repository: &Repository, page: &Page) -> Vec<Finding> {
    let is_former = |code: &&Reference| page.path == CHANGELOG && code.is_in_table;
    let spans = page
        .code_spans
        .iter()
        .filter(|code| !is_former(code) && looks_like_item(&code.text));
    let words = page
        .code_block_words
        .iter()
        .filter(|word| looks_like_type(&word.text));
    spans
        .chain(words)
        .filter(|code| !is_allowed(&code.text) && !has_item(repository, &code.text))
        .map(|code| {
            let name = &code.text;
            let message = format!(
                "no item `{name}` in the source; if it is an established term, add it to \
                 ALLOWED_NAMES in allowed_names.rs with the reason"
            );
            Finding::at(page, code, message)
        })
        .collect()
}

fn is_allowed(name: &str) -> bool {
    ALLOWED_NAMES.iter().any(|(allowed, _)| *allowed == name)
}

/// Whether a source file has the item; `*` in the name matches any text.
fn has_item(repository: &Repository, name: &str) -> bool {
    let name = name.trim_end_matches("()");
    if name.contains('*') {
        let mut words = repository.sources.iter().flat_map(SourceFile::words);
        return words.any(|word| matches_pattern(word, name));
    }
    let segments: Vec<&str> = name.split("::").collect();
    repository.has_item(&segments)
}

/// Whether a code span looks like a Rust item: a path with `::`, or an identifier in camel case or
/// with underscores. A single lowercase word is ambiguous, and a word with a leading underscore is
/// the suffix of a name; neither is checked.
fn looks_like_item(code: &str) -> bool {
    let code = code.trim_end_matches("()");
    let is_identifier = |segment: &str| {
        let has_valid_start = segment.starts_with(|c: char| c.is_ascii_alphabetic() || c == '*');
        has_valid_start
            && segment
                .chars()
                .all(|c| c.is_ascii_alphanumeric() || "_*".contains(c))
    };
    if !code.split("::").all(is_identifier) {
        return false;
    }
    let is_camel_case = code.starts_with(|c: char| c.is_ascii_uppercase())
        && code.contains(|c: char| c.is_ascii_lowercase());
    is_camel_case || code.contains("::") || code.contains('_')
}

/// Whether a word of a code block looks like a type in camel case, such as `RetryBudget`. A word
/// with one capital is not checked, because it may start a sentence in a comment.
fn looks_like_type(word: &str) -> bool {
    let is_alphanumeric = word.chars().all(|c| c.is_ascii_alphanumeric());
    let capitals = word.chars().filter(char::is_ascii_uppercase).count();
    let lowercase_letters = word.chars().filter(char::is_ascii_lowercase).count();
    is_alphanumeric
        && capitals >= 2
        && lowercase_letters >= 2
        && word.starts_with(|c: char| c.is_ascii_uppercase())
}
