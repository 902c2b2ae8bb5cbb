//! Paths of keys, such as `fault[2].at_s`, as used in messages, `--set` and experiments.
//!
//! A path need not lead to an existing key; `renamed_keys` translates former names.

use std::fmt;

/// The path of a key from the top level of a scenario: names of keys and indexes into lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KeyPath(Vec<String>);

impl KeyPath {
    /// Parses a path: `fault[2].at_s` becomes `fault`, `2`, `at_s`.
    pub(super) fn parse(path: &str) -> Self {
        let dotted = path.replace('[', ".").replace(']', "");
        Self(dotted.split('.').map(str::to_owned).collect())
    }

    pub(super) fn from_segments(segments: Vec<String>) -> Self {
        Self(segments)
    }

    /// The segments from the top level; indexes are decimal numbers.
    pub(super) fn segments(&self) -> &[String] {
        &self.0
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, segment) in self.0.iter().enumerate() {
            match (parse_index(segment), position) {
                (Some(index), _) => write!(f, "[{index}]")?,
                (None, 0) => f.write_str(segment)?,
                (None, _) => write!(f, ".{segment}")?,
            }
        }
        Ok(())
    }
}

/// Parses a segment as an index; `None` if it is a name.
pub(super) fn parse_index(segment: &str) -> Option<usize> {
    segment.parse().ok()
}
