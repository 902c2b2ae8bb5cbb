//! Lines of a scenario's text: where a byte or a key stands. Counts lines from 1.
//!
//! Looks for keys under the names that the text has; `renamed_keys` gives those.

use std::ops::Range;

use toml_edit::{Document, Item, Table, Value};

use super::key_path::{KeyPath, index};

/// The line of a byte.
pub(super) fn line_at(text: &str, byte: usize) -> usize {
    let before = text.as_bytes().iter().take(byte);
    before.filter(|&&b| b == b'\n').count() + 1
}

/// The line of a key, or of the nearest thing around it that the text has. Nothing where the text
/// is no TOML or has nothing of the path, and for items beyond the end of a list: these were added
/// by a variant.
pub(super) fn line_of(text: &str, path: &KeyPath) -> Option<usize> {
    let document = Document::parse(text).ok()?;
    let line = |span: Range<usize>| line_at(text, span.start);
    let mut item: &Item = document.as_item();
    let mut nearest = None;
    for (position, segment) in path.segments().iter().enumerate() {
        let child = match (item, index(segment)) {
            (Item::ArrayOfTables(tables), Some(index)) => {
                let key = path.segments().get(position + 1);
                return span_in_table(tables.get(index)?, key).map(line).or(nearest);
            }
            (Item::Value(Value::Array(array)), Some(index)) => {
                return array.get(index)?.span().map(line).or(nearest);
            }
            (item, _) => item
                .as_table_like()
                .and_then(|table| table.get_key_value(segment)),
        };
        let Some((key, inner)) = child else {
            return nearest;
        };
        nearest = key.span().or(inner.span()).map(line).or(nearest);
        item = inner;
    }
    nearest
}

/// Where a table starts, or the key within it where it has it.
fn span_in_table(table: &Table, key: Option<&String>) -> Option<Range<usize>> {
    let found = key.and_then(|key| table.get_key_value(key));
    let key_span = found.and_then(|(key, value)| key.span().or(value.span()));
    key_span.or(table.span())
}
