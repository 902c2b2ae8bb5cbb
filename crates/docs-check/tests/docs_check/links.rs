//! Checks that files, folders and headings that relative links lead to exist.

use crate::finding::Finding;
use crate::page::{Page, Reference};
use crate::repository::Repository;

/// Checks the links of all pages.
pub(crate) fn check(repository: &Repository) -> Vec<Finding> {
    let pages = repository.pages.iter();
    pages
        .flat_map(|page| {
            page.links
                .iter()
                .filter_map(|link| check_link(repository, page, link))
        })
        .collect()
}

fn check_link(repository: &Repository, page: &Page, link: &Reference) -> Option<Finding> {
    if link.text.contains("://") || link.text.starts_with("mailto:") {
        return None;
    }
    let (target, anchor) = match link.text.split_once('#') {
        Some((target, anchor)) => (target, Some(anchor)),
        None => (link.text.as_str(), None),
    };
    let path = if target.is_empty() {
        page.path.clone()
    } else {
        resolve(&page.path, target)
    };
    if !repository.files.contains(&path) && !repository.folders.contains(&path) {
        let message = format!("the link's target `{target}` does not exist (looked for `{path}`)");
        return Some(Finding::at(page, link, message));
    }
    let anchor = anchor?;
    let target_page = repository
        .pages
        .iter()
        .find(|candidate| candidate.path == path);
    if target_page.is_some_and(|found| found.anchors.contains(anchor)) {
        return None;
    }
    Some(Finding::at(
        page,
        link,
        format!("`{path}` has no heading with the anchor `#{anchor}`"),
    ))
}

/// Resolves a target relative to the folder of the page into a path from the repository's root.
fn resolve(page_path: &str, target: &str) -> String {
    let mut names: Vec<&str> = page_path.split('/').collect();
    names.pop();
    for name in target.split('/') {
        match name {
            "" | "." => {}
            ".." => drop(names.pop()),
            _ => names.push(name),
        }
    }
    names.join("/")
}
