//! Checks that files and folders named in the code of pages exist.

use crate::allowed_names::ALLOWED_PATHS;
use crate::finding::Finding;
use crate::page::{Page, Reference};
use crate::repository::Repository;

/// Extensions that identify a word without `/` as a file of the repository.
const SOURCE_EXTENSIONS: [&str; 3] = [".rs", ".md", ".toml"];
/// Extensions that identify a word with `/` as a file of the repository.
const FILE_EXTENSIONS: [&str; 7] = [".rs", ".md", ".toml", ".json", ".csv", ".svg", ".txt"];
/// Folders at the root; a word with one of these prefixes is a path regardless of its extension.
const ROOT_FOLDERS: [&str; 5] = ["crates/", "docs/", "deploy/", "examples/", ".ci/"];

/// Checks the paths in the code of all pages except history pages. A path may be relative to the
/// root or consist of the last segments only, such as `upstream/attempt.rs`.
pub(crate) fn check(repository: &Repository) -> Vec<Finding> {
    let is_checked = |page: &&Page| !page.path.starts_with("docs/history/");
    let pages = repository.pages.iter().filter(is_checked);
    pages
        .flat_map(|page| {
            page.code_references()
                .filter_map(|code| check_path(repository, page, code))
        })
        .collect()
}

fn check_path(repository: &Repository, page: &Page, code: &Reference) -> Option<Finding> {
    let path = code.text.as_str();
    if let Some((file, line)) = split_line_number(path) {
        let message =
            format!("`{file}` with line {line}: name an item, as line numbers change with commits");
        return Some(Finding::at(page, code, message));
    }
    let is_allowed = ALLOWED_PATHS.iter().any(|(allowed, _)| *allowed == path);
    if is_allowed || !looks_like_path(path) || repository.has_path_ending_in(path) {
        return None;
    }
    Some(Finding::at(
        page,
        code,
        format!("no file or folder `{path}`"),
    ))
}

/// Splits a Rust file with a line number, such as `pick.rs:38`.
fn split_line_number(path: &str) -> Option<(&str, &str)> {
    let (file, line) = path.rsplit_once(':')?;
    let is_line = !line.is_empty() && line.chars().all(|c| c.is_ascii_digit());
    (file.ends_with(".rs") && is_line).then_some((file, line))
}

/// Whether a word in code looks like a file or folder of the repository, as opposed to a URL path
/// (`/ready`), build output, or a word with characters that no file name in the repository has.
fn looks_like_path(word: &str) -> bool {
    let has_path_characters = word
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || "/._-*".contains(c));
    if !has_path_characters || word.starts_with(['/', '*']) || word.starts_with("target/") {
        return false;
    }
    let ends_in = |extensions: &[&str]| extensions.iter().any(|end| word.ends_with(end));
    let is_in_root_folder = ROOT_FOLDERS.iter().any(|folder| word.starts_with(folder));
    let has_slash = word.contains('/');
    let is_path_by_slash_or_extension =
        has_slash && (word.ends_with('/') || ends_in(&FILE_EXTENSIONS));
    let is_source_file = ends_in(&SOURCE_EXTENSIONS) && word.len() > ".toml".len();
    is_in_root_folder || is_path_by_slash_or_extension || (!has_slash && is_source_file)
}
