//! The repository's files, and the parsed contents of pages and sources.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::Path;

use crate::page::Page;
use crate::source_file::SourceFile;

/// Folders whose contents are not loaded: build output, version control data, and records of runs
/// (thousands of files that no page names).
const SKIPPED_FOLDERS: [&str; 3] = ["target", ".git", "journal"];

/// Folder of this crate. Its pages and sources are not parsed, because its tests contain invented
/// names, and its list of allowed names may contain former ones.
const OWN_FOLDER: &str = "crates/docs-check/";

/// Paths, pages and sources of a repository.
#[derive(Debug, Default)]
pub(crate) struct Repository {
    /// Paths of files, relative to the root and separated by `/`.
    pub(crate) files: BTreeSet<String>,
    /// Paths of folders, relative to the root, without a trailing `/`.
    pub(crate) folders: BTreeSet<String>,
    /// Parsed Markdown files.
    pub(crate) pages: Vec<Page>,
    /// Rust files, and recordings of exchanges, whose file names are test names.
    pub(crate) sources: Vec<SourceFile>,
}

impl Repository {
    /// Loads the repository at `root`.
    ///
    /// # Errors
    ///
    /// If a folder, a page or a Rust file cannot be read.
    pub(crate) fn load(root: &Path) -> io::Result<Self> {
        let mut repository = Self::default();
        repository.load_folder(root, "")?;
        Ok(repository)
    }

    /// Builds a repository from pairs of path and text.
    pub(crate) fn from_files(files: &[(&str, &str)]) -> Self {
        let mut repository = Self::default();
        for (path, text) in files {
            repository.add_file(path, text);
            for (end, _) in path.match_indices('/') {
                repository.folders.insert(path[..end].to_owned());
            }
        }
        repository
    }

    /// Whether the path of a file or folder has `path` as its last segments.
    pub(crate) fn has_path_ending_in(&self, path: &str) -> bool {
        let folder = path.strip_suffix('/');
        let mut candidates: Box<dyn Iterator<Item = &String>> = match folder {
            Some(_) => Box::new(self.folders.iter()),
            None => Box::new(self.files.iter().chain(&self.folders)),
        };
        let last_segments = folder.unwrap_or(path);
        candidates.any(|candidate| has_last_segments(candidate, last_segments))
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
                self.add_file(&path, &read_if_page_or_source(&entry.path())?);
                continue;
            }
            self.folders.insert(path.clone());
            if !SKIPPED_FOLDERS.contains(&name.as_str()) {
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
            self.sources.push(SourceFile::parse(path, text));
        }
    }
}

/// Reads a page or a Rust file. Returns an empty text for other files, of which only the path is
/// needed.
fn read_if_page_or_source(path: &Path) -> io::Result<String> {
    let is_read = path
        .extension()
        .is_some_and(|extension| extension == "md" || extension == "rs");
    if is_read {
        fs::read_to_string(path)
    } else {
        Ok(String::new())
    }
}

/// Whether `path` equals `last_segments` or ends with it after a `/`; a `*` in `last_segments`
/// matches any text.
fn has_last_segments(path: &str, last_segments: &str) -> bool {
    let starts = std::iter::once(0).chain(path.match_indices('/').map(|(index, _)| index + 1));
    starts
        .into_iter()
        .any(|start| matches_pattern(&path[start..], last_segments))
}

/// Whether the whole `text` matches `pattern`, in which `*` matches any text.
pub(crate) fn matches_pattern(text: &str, pattern: &str) -> bool {
    let Some((before, after)) = pattern.split_once('*') else {
        return text == pattern;
    };
    let Some(rest) = text.strip_prefix(before) else {
        return false;
    };
    let mut suffixes = rest
        .char_indices()
        .map(|(index, _)| &rest[index..])
        .chain([""]);
    suffixes.any(|suffix| matches_pattern(suffix, after))
}
