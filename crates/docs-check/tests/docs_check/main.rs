//! Checks the documentation against the repository: targets of links and anchors exist, files and
//! items that pages name exist, and lines do not exceed the maximum width.
//!
//! The checks are functions of a [`Repository`]. The tests here load it from disk; those in
//! [`check_tests`] build small ones, on which each check passes and fails.

mod allowed_names;
mod check_tests;
mod finding;
mod items;
mod links;
mod page;
mod paths;
mod repository;
mod source_file;
mod width;

use std::path::Path;

use finding::Finding;
use repository::Repository;

/// Runs a check on the repository; panics with one line per finding, which begins with file and
/// line.
fn assert_no_findings(check: fn(&Repository) -> Vec<Finding>) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let repository = Repository::load(&root).expect("the repository can be read");
    assert!(
        !repository.pages.is_empty(),
        "the repository has no Markdown files"
    );
    let findings: Vec<String> = check(&repository).iter().map(Finding::to_string).collect();
    assert!(
        findings.is_empty(),
        "{} findings\n{}\n",
        findings.len(),
        findings.join("\n")
    );
}

#[test]
fn targets_of_relative_links_and_anchors_exist() {
    assert_no_findings(links::check);
}

#[test]
fn files_and_folders_named_in_code_exist() {
    assert_no_findings(paths::check);
}

#[test]
fn items_named_in_code_exist_in_the_source() {
    assert_no_findings(items::check);
}

#[test]
fn prose_tables_and_code_blocks_fit_the_maximum_width() {
    assert_no_findings(width::check);
}

#[test]
fn allowed_names_are_not_in_the_source() {
    assert_no_findings(items::check_allowed_names);
}
