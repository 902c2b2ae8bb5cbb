//! Identifiers that a source file uses and defines, found by a search of its words without parsing.

use std::collections::HashSet;

/// Keywords that precede the name of an item in its definition.
const ITEM_KEYWORDS: [&str; 8] = [
    "fn", "struct", "enum", "trait", "const", "static", "type", "mod",
];

/// The identifiers of a source file.
#[derive(Debug)]
pub(crate) struct SourceFile {
    /// Identifiers outside comment lines, and the segments of the file's path.
    words: HashSet<String>,
    /// Identifiers after an item keyword, or before a single colon, as in a field's definition.
    definitions: HashSet<String>,
}

impl SourceFile {
    /// Collects the identifiers of a file's text.
    pub(crate) fn parse(path: &str, text: &str) -> Self {
        Self {
            words: words_of(path, text),
            definitions: definitions_of(text),
        }
    }

    /// Whether the file has all segments of an item's path. If there are several and the last one
    /// is lowercase, the file has to define it; types and variants may be defined elsewhere.
    pub(crate) fn has_item(&self, segments: &[&str]) -> bool {
        let last = segments.last().copied().unwrap_or_default();
        let is_type = last.starts_with(|c: char| c.is_uppercase());
        let is_defined = is_type || segments.len() == 1 || self.definitions.contains(last);
        is_defined && segments.iter().all(|segment| self.words.contains(*segment))
    }

    /// Identifiers outside comment lines, and the segments of the file's path.
    pub(crate) fn words(&self) -> impl Iterator<Item = &str> {
        self.words.iter().map(String::as_str)
    }
}

fn words_of(path: &str, text: &str) -> HashSet<String> {
    let identifiers =
        code_lines(text).flat_map(|line| line.split(|c: char| !is_identifier_char(c)));
    let names = path
        .split(['/', '.'])
        .map(|name| name.strip_prefix("arrowstand-").unwrap_or(name));
    let words = identifiers.chain(names).filter(|word| !word.is_empty());
    words.map(str::to_owned).collect()
}

/// Collects the defined identifiers. Parameters and the fields of literals also precede a colon and
/// are counted as definitions.
fn definitions_of(text: &str) -> HashSet<String> {
    let mut definitions = HashSet::new();
    for line in code_lines(text) {
        let parts: Vec<&str> = line
            .split(|c: char| c.is_whitespace() || "<({".contains(c))
            .collect();
        let after_keyword = parts
            .windows(2)
            .filter(|pair| ITEM_KEYWORDS.contains(&pair[0]))
            .map(|pair| pair[1].trim_end_matches([':', ';']));
        let before_colon = parts.iter().filter_map(|part| part.strip_suffix(':'));
        let names = after_keyword
            .chain(before_colon)
            .filter(|name| is_identifier(name));
        definitions.extend(names.map(str::to_owned));
    }
    definitions
}

fn code_lines(text: &str) -> impl Iterator<Item = &str> {
    text.lines()
        .filter(|line| !line.trim_start().starts_with("//"))
}

fn is_identifier(word: &str) -> bool {
    !word.is_empty() && word.chars().all(is_identifier_char)
}

fn is_identifier_char(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}
