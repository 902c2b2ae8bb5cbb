//! Files and folders that pages name in code exist.

use crate::allowed_names::ALLOWED_PATHS;
use crate::finding::Finding;
use crate::page::{Page, Reference};
use crate::repository::Repository;

/// Extensions by which a word without `/` is taken for a file of the repository.
const SOURCE_EXTENSIONS: [&str; 3] = [".rs", ".md", ".toml"];
/// Extensions by which a path with `/` is taken for a file of the repository.
const FILE_EXTENSIONS: [&str; 7] = [".rs", ".md", ".toml", ".json", ".csv", ".svg", ".txt"];
/// Folders at the root; what begins with one of them is a path, whatever it ends in.
const ROOT_FOLDERS: [&str; 5] = ["crates/", "docs/", "deploy/", "examples/", ".ci/"];

/// Checks the paths in the code of all pages. A path may be given from the root, or by its last
/// names: `upstream/attempt.rs` stands for the file in the sidecar.
pub(crate) fn check(repository: &Repository) -> Vec<Finding> {
    let is_checked = |page: &&Page| !page.path.starts_with("docs/history/");
    let pages = repository.pages.iter().filter(is_checked);
    pages
        .flat_map(|page| {
            page.code()
                .filter_map(|code| check_path(repository, page, code))
        })
        .collect()
}

fn check_path(repository: &Repository, page: &Page, code: &Reference) -> Option<Finding> {
    let path = code.text.as_str();
    if let Some((file, line)) = split_line_number(path) {
        let message =
            format!("`{file}` with line {line}: name an item, lines move with each commit");
        return Some(Finding::at(page, code, message));
    }
    let is_allowed = ALLOWED_PATHS.iter().any(|(allowed, _)| *allowed == path);
    if is_allowed || !is_path(path) || repository.has_path_ending_in(path) {
        return None;
    }
    Some(Finding::at(
        page,
        code,
        format!("no file or folder `{path}`"),
    ))
}

/// A Rust file and the line behind it, as in `pick.rs:38`.
fn split_line_number(path: &str) -> Option<(&str, &str)> {
    let (file, line) = path.rsplit_once(':')?;
    let is_line = !line.is_empty() && line.chars().all(|c| c.is_ascii_digit());
    (file.ends_with(".rs") && is_line).then_some((file, line))
}

/// Whether a word in code names a file or folder of the repository: no URL path (`/ready`), no
/// result of a build, and nothing with characters that no file here has.
fn is_path(word: &str) -> bool {
    let is_plain = word
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || "/._-*".contains(c));
    if !is_plain || word.starts_with(['/', '*']) || word.starts_with("target/") {
        return false;
    }
    let ends_in = |extensions: &[&str]| extensions.iter().any(|end| word.ends_with(end));
    let is_in_root_folder = ROOT_FOLDERS.iter().any(|folder| word.starts_with(folder));
    let has_slash = word.contains('/');
    let is_named_by_slash = has_slash && (word.ends_with('/') || ends_in(&FILE_EXTENSIONS));
    let is_source_file = ends_in(&SOURCE_EXTENSIONS) && word.len() > ".toml".len();
    is_in_root_folder || is_named_by_slash || (!has_slash && is_source_file)
}
