//! Items that pages name in code are in the source.

use crate::allowed_names::{ALLOWED_NAMES, PAGES_OF_FORMER_NAMES};
use crate::finding::Finding;
use crate::page::{Page, Reference};
use crate::repository::{Repository, matches_pattern};
use crate::source_file::SourceFile;

/// The page whose tables set former names beside present ones.
const CHANGELOG: &str = "CHANGELOG.md";

/// Checks the item names in the code of all pages. The segments of a path such as
/// `Balancer::handle` have to stand in one source file (modules may be named by the file's path),
/// which defines the function or field that is the last one.
pub(crate) fn check(repository: &Repository) -> Vec<Finding> {
    let is_checked = |page: &&Page| {
        !PAGES_OF_FORMER_NAMES
            .iter()
            .any(|prefix| page.path.starts_with(prefix))
    };
    let pages = repository.pages.iter().filter(is_checked);
    pages
        .flat_map(|page| check_page(repository, page))
        .collect()
}

/// Reports each allowed name that the source has: it needs no permission.
pub(crate) fn check_allowed_names(repository: &Repository) -> Vec<Finding> {
    let superfluous = ALLOWED_NAMES
        .iter()
        .filter(|(name, _)| has_item(repository, name));
    superfluous
        .map(|(name, _)| Finding {
            page: "crates/docs-check/tests/docs_check/allowed_names.rs".to_owned(),
            line: 1,
            message: format!("`{name}` is in the source: take it off the list"),
        })
        .collect()
}

fn check_page(repository: &Repository, page: &Page) -> Vec<Finding> {
    let is_former = |code: &&Reference| page.path == CHANGELOG && code.is_in_table;
    let spans = page
        .code_spans
        .iter()
        .filter(|code| !is_former(code) && is_item(&code.text));
    let words = page
        .code_block_words
        .iter()
        .filter(|word| has_two_humps(&word.text));
    spans
        .chain(words)
        .filter(|code| !is_allowed(&code.text) && !has_item(repository, &code.text))
        .map(|code| {
            let name = &code.text;
            let message = format!(
                "no item `{name}` in the source; if it is a term of the field, allow it in \
                 allowed_names.rs with the reason"
            );
            Finding::at(page, code, message)
        })
        .collect()
}

fn is_allowed(name: &str) -> bool {
    ALLOWED_NAMES.iter().any(|(allowed, _)| *allowed == name)
}

/// Whether a source file has the item; `*` in a name stands for any text.
fn has_item(repository: &Repository, name: &str) -> bool {
    let name = name.trim_end_matches("()");
    if name.contains('*') {
        let mut words = repository.sources.iter().flat_map(SourceFile::words);
        return words.any(|word| matches_pattern(word, name));
    }
    let segments: Vec<&str> = name.split("::").collect();
    repository.has_item(&segments)
}

/// Whether code between backticks looks like a Rust item: a path with `::`, or an identifier in
/// camel case or with underscores. Single words in small letters may be anything, and what begins
/// with an underscore is the end of a name.
fn is_item(code: &str) -> bool {
    let code = code.trim_end_matches("()");
    let is_identifier = |segment: &str| {
        let starts_well = segment.starts_with(|c: char| c.is_ascii_alphabetic() || c == '*');
        starts_well
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

/// Whether a word of a code block is a type's name, such as `RetryBudget`; a capital at the start
/// alone may begin a sentence of a comment.
fn has_two_humps(word: &str) -> bool {
    let is_plain = word.chars().all(|c| c.is_ascii_alphanumeric());
    let capitals = word.chars().filter(char::is_ascii_uppercase).count();
    let small_letters = word.chars().filter(char::is_ascii_lowercase).count();
    is_plain
        && capitals >= 2
        && small_letters >= 2
        && word.starts_with(|c: char| c.is_ascii_uppercase())
}
