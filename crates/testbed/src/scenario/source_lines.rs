//! Line numbers, from 1, of bytes and keys in a scenario's text.
//!
//! Keys are looked up under the names in the text, which `renamed_keys` provides.

use std::ops::Range;

use toml_edit::{Document, Item, Table, Value};

use super::key_path::{KeyPath, parse_index};

/// The line of the byte at an offset.
pub(super) fn line_at_offset(text: &str, byte: usize) -> usize {
    let before = text.as_bytes().iter().take(byte);
    before.filter(|&&b| b == b'\n').count() + 1
}

/// The line of a key, or of the innermost section on its path if the key is absent. `None` if the
/// text is not TOML, if the first segment of the path is absent, and for items beyond the end of a
/// list, which a variant has added.
pub(super) fn line_of_key(text: &str, path: &KeyPath) -> Option<usize> {
    let document = Document::parse(text).ok()?;
    let line = |span: Range<usize>| line_at_offset(text, span.start);
    let mut item: &Item = document.as_item();
    let mut nearest = None;
    for (position, segment) in path.segments().iter().enumerate() {
        let child = match (item, parse_index(segment)) {
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

/// The span of a key in a table, or of the table if the key is absent.
fn span_in_table(table: &Table, key: Option<&String>) -> Option<Range<usize>> {
    let found = key.and_then(|key| table.get_key_value(key));
    let key_span = found.and_then(|(key, value)| key.span().or(value.span()));
    key_span.or(table.span())
}
