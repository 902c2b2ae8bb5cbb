//! Names in pages that no source file has to have.

/// Pages of history: they quote names as they were, and are neither searched for items nor
/// wrapped.
pub(crate) const PAGES_OF_FORMER_NAMES: [&str; 1] = ["docs/history/"];

/// Names that look like items and are none, with the reason.
pub(crate) const ALLOWED_NAMES: [(&str, &str); 0] = [];

/// Paths that need not exist, with the reason.
pub(crate) const ALLOWED_PATHS: [(&str, &str); 3] = [
    ("crates/fleet", "planned in docs/ROADMAP.md, not begun"),
    ("foo.rs", "stands for any module in CONTRIBUTING.md"),
    (
        "foo/tests.rs",
        "stands for any module's tests in CONTRIBUTING.md",
    ),
];
