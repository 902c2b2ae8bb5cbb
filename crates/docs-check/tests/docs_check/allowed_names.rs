//! Names that pages may use although the repository does not have them.

/// Path prefixes of history pages. They quote former names, so that their items and line widths are
/// not checked.
pub(crate) const HISTORY_PAGE_PREFIXES: [&str; 1] = ["docs/history/"];

/// Names that look like items but are not, with the reason.
pub(crate) const ALLOWED_NAMES: [(&str, &str); 0] = [];

/// Paths that do not have to exist, with the reason.
pub(crate) const ALLOWED_PATHS: [(&str, &str); 3] = [
    ("crates/fleet", "planned in docs/ROADMAP.md, not started"),
    ("foo.rs", "stands for any module in CONTRIBUTING.md"),
    (
        "foo/tests.rs",
        "stands for any module's tests in CONTRIBUTING.md",
    ),
];
