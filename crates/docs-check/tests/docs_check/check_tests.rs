//! Tests of the checks: each one passes and fails on a repository of a few lines.

use crate::finding::Finding;
use crate::repository::{Repository, matches_pattern};
use crate::{items, links, paths, width};

/// Path of the page under test.
const PAGE: &str = "docs/page.md";

/// The source file of the repository under test.
const SOURCE: (&str, &str) = (
    "crates/sidecar/src/proxy/exchange.rs",
    "// struct Commented;\npub struct Exchange;\nimpl Exchange {\n    fn run_once(&self) {}\n}\n",
);

/// Runs a check on a repository with this page, another page and [`SOURCE`]; returns the printed
/// findings.
fn findings(check: fn(&Repository) -> Vec<Finding>, page: &str) -> Vec<String> {
    let other_page = ("docs/other.md", "# Other\n\n## Where to `look`, at once\n");
    let repository = Repository::from_files(&[(PAGE, page), other_page, SOURCE]);
    check(&repository).iter().map(Finding::to_string).collect()
}

/// Asserts that there is exactly one finding and that it starts with `prefix`.
fn assert_one_finding(findings: &[String], prefix: &str) {
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert!(findings[0].starts_with(prefix), "{findings:?}");
}

#[test]
fn links_to_existing_files_folders_headings_and_to_websites_pass() {
    let page = "# Page\n\n[a](other.md), [b](../crates/sidecar/src/), [c](#page),\n\
                [d](other.md#where-to-look-at-once), [e](https://example.org/x.md)\n";

    assert_eq!(findings(links::check, page), Vec::<String>::new());
}

#[test]
fn link_to_a_missing_file_is_reported_with_its_line() {
    let found = findings(links::check, "# Page\n\ntext\nand [a](missing.md)\n");

    assert_one_finding(
        &found,
        "docs/page.md:4: the link's target `missing.md` does not exist",
    );
}

#[test]
fn reference_link_to_a_missing_file_is_reported() {
    let found = findings(links::check, "See [the page][a].\n\n[a]: missing.md\n");

    assert_one_finding(
        &found,
        "docs/page.md:1: the link's target `missing.md` does not exist",
    );
}

#[test]
fn link_to_a_missing_heading_is_reported() {
    let found = findings(links::check, "[a](other.md#where-to-go)\n");

    assert_one_finding(
        &found,
        "docs/page.md:1: `docs/other.md` has no heading with the anchor",
    );
}

#[test]
fn repeated_headings_have_anchors_with_numeric_suffixes() {
    let found = findings(
        links::check,
        "# Page\n\n## A\n\n## A\n\n[x](#a-1) [y](#a-2)\n",
    );

    assert_one_finding(
        &found,
        "docs/page.md:7: `docs/page.md` has no heading with the anchor `#a-2`",
    );
}

#[test]
fn paths_from_the_root_by_last_segments_and_by_pattern_pass() {
    let page = "`crates/sidecar/src/proxy/exchange.rs`, `proxy/exchange.rs`, \
                `exchange.rs`, `proxy/`,\n\
                `docs/o*.md`, `/ready`, `target/release/x.rs`, `and/or`\n";

    assert_eq!(findings(paths::check, page), Vec::<String>::new());
}

#[test]
fn missing_files_and_folders_are_reported() {
    let found = findings(
        paths::check,
        "`proxy/missing.rs`\n`missing/`\n`crates/missing`\n",
    );

    let expected = ["proxy/missing.rs", "missing/", "crates/missing"];
    let lines = (1..).zip(expected);
    let messages = lines.map(|(line, path)| format!("{PAGE}:{line}: no file or folder `{path}`"));
    assert_eq!(found, messages.collect::<Vec<String>>());
}

#[test]
fn path_that_matches_only_the_end_of_a_file_name_is_reported() {
    let found = findings(paths::check, "`change.rs`\n");

    assert_one_finding(&found, "docs/page.md:1: no file or folder `change.rs`");
}

#[test]
fn missing_file_in_a_code_block_is_reported() {
    let found = findings(
        paths::check,
        "Text:\n\n    Exchange (proxy/exchange.rs, missing.rs)\n",
    );

    assert_one_finding(&found, "docs/page.md:3: no file or folder `missing.rs`");
}

#[test]
fn line_number_after_a_file_name_is_reported() {
    let found = findings(paths::check, "`proxy/exchange.rs:12`\n");

    assert_one_finding(&found, "docs/page.md:1: `proxy/exchange.rs` with line 12");
}

#[test]
fn existing_items_and_words_that_are_no_items_pass() {
    let page = "`Exchange`, `Exchange::run_once`, `run_once()`, `proxy::Exchange`, \
                `run_*`, `word`,\n\
                `Retry-After`, `a + b`\n\n    Exchange ... ClientOf-nothing\n";

    assert_eq!(findings(items::check, page), Vec::<String>::new());
}

#[test]
fn missing_types_functions_patterns_and_constants_are_reported() {
    let found = findings(
        items::check,
        "`Missing`\n`run_twice`\n`run_t*`\n`MAX_RUNS`\n",
    );

    let places: Vec<&str> = found
        .iter()
        .map(|text| &text[.."docs/page.md:1".len()])
        .collect();
    assert_eq!(
        places,
        [
            "docs/page.md:1",
            "docs/page.md:2",
            "docs/page.md:3",
            "docs/page.md:4"
        ]
    );
}

#[test]
fn item_that_only_a_comment_names_is_reported() {
    let found = findings(items::check, "`Commented`\n");

    assert_one_finding(&found, "docs/page.md:1: no item `Commented` in the source");
}

#[test]
fn item_path_with_an_undefined_function_is_reported() {
    let found = findings(items::check, "`Exchange::other`\n");

    assert_one_finding(
        &found,
        "docs/page.md:1: no item `Exchange::other` in the source",
    );
}

#[test]
fn method_that_a_file_calls_but_does_not_define_is_reported() {
    let source = (
        "a.rs",
        "impl Exchange {\n    fn other(&self) {\n        x.run_twice();\n    }\n}\n",
    );
    let files = [(PAGE, "`Exchange::other`, `Exchange::run_twice`\n"), source];

    let found = items::check(&Repository::from_files(&files));

    let printed: Vec<String> = found.iter().map(Finding::to_string).collect();
    assert_one_finding(
        &printed,
        "docs/page.md:1: no item `Exchange::run_twice` in the source",
    );
}

#[test]
fn missing_type_in_a_code_block_is_reported() {
    let found = findings(items::check, "Text:\n\n    +- MissingType ... Words\n");

    assert_one_finding(
        &found,
        "docs/page.md:3: no item `MissingType` in the source",
    );
}

#[test]
fn former_names_pass_only_in_changelog_tables_and_history_pages() {
    let changelog = "`Former`\n\n| old | new |\n| --- | --- |\n| `Earlier` | `Exchange` |\n";
    let history = "`Earliest`\n";
    let files = [
        ("CHANGELOG.md", changelog),
        ("docs/history/old.md", history),
        SOURCE,
    ];

    let found = items::check(&Repository::from_files(&files));

    let printed: Vec<String> = found.iter().map(Finding::to_string).collect();
    assert_one_finding(&printed, "CHANGELOG.md:1: no item `Former`");
}

#[test]
fn lines_of_maximum_width_pass_and_longer_ones_are_reported() {
    let prose = "x".repeat(100);
    let row = format!("|{}|", "y".repeat(118));
    let code = format!("    {}", "z".repeat(116));

    let page = format!("{prose}\n\n{row}\n\n{code}\n\n{prose}x\n\n{row}|\n\n{code}z\n");

    let places = [
        "7: 101 columns, 100 at most",
        "9: 121 columns, 120",
        "11: 121 columns, 120",
    ];
    let found = findings(width::check, &page);
    assert_eq!(found.len(), places.len(), "{found:?}");
    for (finding, place) in found.iter().zip(places) {
        assert!(finding.starts_with(&format!("{PAGE}:{place}")), "{finding}");
    }
}

#[test]
fn asterisks_in_a_pattern_match_any_text() {
    assert!(matches_pattern("shutdown_serves_all", "shutdown_*"));
    assert!(matches_pattern("late_second_response", "*second*"));
    assert!(!matches_pattern("shutdown", "shutdown_*"));
    assert!(!matches_pattern("late_response", "*second*"));
}
