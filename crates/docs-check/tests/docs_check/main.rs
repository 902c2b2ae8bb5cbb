//! Tests that the pages of documentation agree with the repository that they describe: links and
//! their anchors lead somewhere, files and items that are named exist, and prose fits the width.
//!
//! The checks are functions over a [`Repository`], which is loaded from the disk here and built
//! from a few lines in [`checker`], where each check is seen to fail.

mod allowed_names;
mod checker;
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

/// Fails with one line for each finding, each beginning with file and line.
fn assert_no_findings(check: fn(&Repository) -> Vec<Finding>) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let repository = Repository::load(&root).expect("the repository can be read");
    assert!(!repository.pages.is_empty(), "no page found");
    let findings: Vec<String> = check(&repository).iter().map(Finding::to_string).collect();
    assert!(
        findings.is_empty(),
        "{} findings\n{}\n",
        findings.len(),
        findings.join("\n")
    );
}

#[test]
fn relative_links_and_their_anchors_exist() {
    assert_no_findings(links::check);
}

#[test]
fn files_and_directories_in_backticks_exist() {
    assert_no_findings(paths::check);
}

#[test]
fn items_in_backticks_exist_in_the_source() {
    assert_no_findings(items::check);
}

#[test]
fn prose_tables_and_code_blocks_fit_their_width() {
    assert_no_findings(width::check);
}

#[test]
fn allowed_names_are_not_in_the_source() {
    assert_no_findings(items::check_allowed_names);
}
