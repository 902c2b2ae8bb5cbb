//! Sets one key in a scenario's table, for `--set` and the axes of experiments.
//!
//! Only the path is checked here. Whether the key exists and may have the value is checked when the
//! scenario is read from the table.

use toml::{Table, Value};

use super::key_path::{KeyPath, parse_index};
use super::renamed_keys::current_path;

/// Why a key cannot be set. Messages use the names of the given path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SetKeyError {
    /// The path has no segments.
    #[error("is empty")]
    Empty,
    /// The index is beyond the end of the list.
    #[error("there is no {list}[{index}]")]
    NoSuchItem { list: String, index: usize },
    /// The list's item is not a table.
    #[error("{list}[{index}] is not a table")]
    ItemNotTable { list: String, index: usize },
    /// A key on the path is not a table, is a list without an index, or has an index but is not a
    /// list.
    #[error("{key} is not a table")]
    NotTable { key: String },
}

/// Sets the key at a path under current or former names; missing tables on the path are added.
///
/// # Errors
/// If an item on the path is not a table. Tables may already have been added by then.
pub(super) fn set_key(table: &mut Table, path: &KeyPath, value: Value) -> Result<(), SetKeyError> {
    let current = current_path(path);
    let (last, parents) = current.segments().split_last().ok_or(SetKeyError::Empty)?;
    let mut parent = table;
    let mut segments = parents.iter().zip(path.segments()).peekable();
    while let Some((segment, given)) = segments.next() {
        let child = parent
            .entry(segment.clone())
            .or_insert_with(|| Value::Table(Table::new()));
        let index = segments.peek().and_then(|(next, _)| parse_index(next));
        parent = match (child, index) {
            (Value::Array(items), Some(index)) => {
                segments.next();
                table_in_list(items, given, index)?
            }
            (Value::Table(child), None) => child,
            _ => {
                let key = given.clone();
                return Err(SetKeyError::NotTable { key });
            }
        };
    }
    parent.insert(last.clone(), value);
    Ok(())
}

fn table_in_list<'a>(
    items: &'a mut [Value],
    list: &str,
    index: usize,
) -> Result<&'a mut Table, SetKeyError> {
    let list = list.to_owned();
    match items.get_mut(index) {
        Some(Value::Table(table)) => Ok(table),
        Some(_) => Err(SetKeyError::ItemNotTable { list, index }),
        None => Err(SetKeyError::NoSuchItem { list, index }),
    }
}
