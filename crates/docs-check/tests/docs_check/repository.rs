//! The files that pages refer to.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::Path;

use crate::page::Page;
use crate::source_file::SourceFile;

/// Folders whose files are no part of the sources: results of builds, version control, and
/// records of runs (a folder of thousands of files that no page names).
const FOLDERS_NOT_ENTERED: [&str; 3] = ["target", ".git", "journal"];

/// This crate holds invented names in its tests and former ones in its list of allowed names.
const OWN_FOLDER: &str = "crates/docs-check/";

/// Paths, pages and sources of the repository.
#[derive(Debug, Default)]
pub(crate) struct Repository {
    /// Files, from the root, with `/` between names.
    pub(crate) files: BTreeSet<String>,
    /// Folders, likewise, without a final `/`.
    pub(crate) folders: BTreeSet<String>,
    /// Markdown files.
    pub(crate) pages: Vec<Page>,
    /// Rust files, and recordings of exchanges, whose file names are names of tests.
    pub(crate) sources: Vec<SourceFile>,
}

impl Repository {
    /// Reads the repository at `root`.
    ///
    /// # Errors
    ///
    /// A folder or a text file that cannot be read.
    pub(crate) fn load(root: &Path) -> io::Result<Self> {
        let mut repository = Self::default();
        repository.load_folder(root, "")?;
        Ok(repository)
    }

    /// A repository of these files, given by path and text.
    pub(crate) fn of_files(files: &[(&str, &str)]) -> Self {
        let mut repository = Self::default();
        for (path, text) in files {
            repository.add_file(path, text);
            for (end, _) in path.match_indices('/') {
                repository.folders.insert(path[..end].to_owned());
            }
        }
        repository
    }

    /// Whether a file or folder ends in `path`, at a boundary of names.
    pub(crate) fn has_path_ending_in(&self, path: &str) -> bool {
        let folder = path.strip_suffix('/');
        let mut candidates: Box<dyn Iterator<Item = &String>> = match folder {
            Some(_) => Box::new(self.folders.iter()),
            None => Box::new(self.files.iter().chain(&self.folders)),
        };
        let wanted = folder.unwrap_or(path);
        candidates.any(|candidate| ends_in(candidate, wanted))
    }

    /// Whether a source file has the item with this path.
    pub(crate) fn has_item(&self, segments: &[&str]) -> bool {
        self.sources.iter().any(|source| source.has_item(segments))
    }

    fn load_folder(&mut self, root: &Path, folder: &str) -> io::Result<()> {
        for entry in fs::read_dir(root.join(folder))? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            let path = if folder.is_empty() {
                name.clone()
            } else {
                format!("{folder}/{name}")
            };
            if !entry.file_type()?.is_dir() {
                self.add_file(&path, &read_if_text(&entry.path())?);
                continue;
            }
            self.folders.insert(path.clone());
            if !FOLDERS_NOT_ENTERED.contains(&name.as_str()) {
                self.load_folder(root, &path)?;
            }
        }
        Ok(())
    }

    fn add_file(&mut self, path: &str, text: &str) {
        self.files.insert(path.to_owned());
        if path.starts_with(OWN_FOLDER) {
            return;
        }
        if path.ends_with(".md") {
            self.pages.push(Page::parse(path, text));
        }
        let is_recording = path.contains("/tests/exchanges/");
        if path.ends_with(".rs") || is_recording {
            self.sources.push(SourceFile::read(path, text));
        }
    }
}

/// Pages and Rust files are read; of others the name is enough.
fn read_if_text(path: &Path) -> io::Result<String> {
    let is_read = path
        .extension()
        .is_some_and(|extension| extension == "md" || extension == "rs");
    if is_read {
        fs::read_to_string(path)
    } else {
        Ok(String::new())
    }
}

/// Whether `path` is `wanted` or has it as its last names; a `*` in `wanted` stands for any text.
fn ends_in(path: &str, wanted: &str) -> bool {
    let starts = std::iter::once(0).chain(path.match_indices('/').map(|(index, _)| index + 1));
    starts
        .into_iter()
        .any(|start| matches_pattern(&path[start..], wanted))
}

/// Whether `text` is `pattern`, in which `*` stands for any text.
pub(crate) fn matches_pattern(text: &str, pattern: &str) -> bool {
    let Some((before, after)) = pattern.split_once('*') else {
        return text == pattern;
    };
    let Some(rest) = text.strip_prefix(before) else {
        return false;
    };
    let mut remainders = rest
        .char_indices()
        .map(|(index, _)| &rest[index..])
        .chain([""]);
    remainders.any(|remainder| matches_pattern(remainder, after))
}
