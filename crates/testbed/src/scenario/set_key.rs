//! Sets one key in a scenario's table, for `--set` and the axes of experiments.
//!
//! Only the path is checked here. Whether the key exists and may have the value is checked when the
//! scenario is read from the table.

use toml::{Table, Value};

use super::key_path::{KeyPath, parse_index};
use super::renamed_keys::current_path;

/// Why a key cannot be set. The messages use the names that the given path uses.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SetKeyError {
    /// The path has no segments.
    #[error("the path is empty")]
    Empty,
    /// The index is beyond the end of the list.
    #[error("there is no {list_name}[{index}]")]
    NoSuchItem { list_name: String, index: usize },
    /// The list's item is not a table.
    #[error("{list_name}[{index}] is not a table")]
    ItemNotTable { list_name: String, index: usize },
    /// A key on the path is not a table, and the path gives no index into it.
    #[error("{key} is not a table")]
    NotTable { key: String },
    /// A key on the path is not a list, but the path gives an index into it.
    #[error("{key} is not a list")]
    NotList { key: String },
}

/// Sets the value of the key at a path, and adds the tables on the path that are missing. The path
/// may use current and former names of keys; `table` has the current names.
///
/// # Errors
/// Returns an error if the path is empty, gives an index beyond the end of a list, or leads through
/// a value that is not a table. Tables that were added before the error was found stay.
pub(super) fn set_key(table: &mut Table, path: &KeyPath, value: Value) -> Result<(), SetKeyError> {
    let translated_path = current_path(path);
    let (last, parents) = translated_path
        .segments()
        .split_last()
        .ok_or(SetKeyError::Empty)?;
    let mut parent = table;
    let mut segments = parents.iter().zip(path.segments()).peekable();
    while let Some((current_name, given_name)) = segments.next() {
        let child = parent
            .entry(current_name.clone())
            .or_insert_with(|| Value::Table(Table::new()));
        let index = segments.peek().and_then(|(next, _)| parse_index(next));
        parent = match (child, index) {
            (Value::Array(items), Some(index)) => {
                segments.next();
                table_in_list(items, given_name, index)?
            }
            (Value::Table(child), None) => child,
            (_, Some(_)) => {
                let key = given_name.clone();
                return Err(SetKeyError::NotList { key });
            }
            (_, None) => {
                let key = given_name.clone();
                return Err(SetKeyError::NotTable { key });
            }
        };
    }
    parent.insert(last.clone(), value);
    Ok(())
}

fn table_in_list<'a>(
    items: &'a mut [Value],
    list_name: &str,
    index: usize,
) -> Result<&'a mut Table, SetKeyError> {
    let list_name = list_name.to_owned();
    match items.get_mut(index) {
        Some(Value::Table(table)) => Ok(table),
        Some(_) => Err(SetKeyError::ItemNotTable { list_name, index }),
        None => Err(SetKeyError::NoSuchItem { list_name, index }),
    }
}
