//! Paths of keys, such as `fault[2].at_s`: how messages, `--set` and experiments name a key.
//!
//! Knows nothing of which keys there are; see `renamed_keys` for those that changed their names.

use std::fmt;

/// The path of a key from the top of a scenario: names of keys and indexes into lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KeyPath(Vec<String>);

impl KeyPath {
    /// Splits a path: `fault[2].at_s` becomes `fault`, `2`, `at_s`.
    pub(super) fn parse(path: &str) -> Self {
        let dotted = path.replace('[', ".").replace(']', "");
        Self(dotted.split('.').map(str::to_owned).collect())
    }

    /// A path of these segments.
    pub(super) fn of(segments: Vec<String>) -> Self {
        Self(segments)
    }

    /// The segments from the top, indexes as decimal numbers.
    pub(super) fn segments(&self) -> &[String] {
        &self.0
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, segment) in self.0.iter().enumerate() {
            match (index(segment), position) {
                (Some(index), _) => write!(f, "[{index}]")?,
                (None, 0) => f.write_str(segment)?,
                (None, _) => write!(f, ".{segment}")?,
            }
        }
        Ok(())
    }
}

/// The index that a segment stands for; nothing where it is a name.
pub(super) fn index(segment: &str) -> Option<usize> {
    segment.parse().ok()
}
