//! Sets one key of a scenario's table, as `--set` and an experiment's axes ask for.
//!
//! Looks only at the way to the key: whether there is such a key, and whether it may have the
//! value, shows when the scenario is read from the table.

use toml::{Table, Value};

use super::key_path::{KeyPath, index};
use super::renamed_keys::present_path;

/// Why a key cannot be set. Names keys as the path that was asked for does.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SetKeyError {
    /// The path has no segments.
    #[error("is empty")]
    Empty,
    /// The list has fewer items.
    #[error("there is no {list}[{index}]")]
    NoSuchItem { list: String, index: usize },
    /// The list's item holds no keys.
    #[error("{list}[{index}] is no table")]
    ItemIsNoTable { list: String, index: usize },
    /// A key on the way holds no keys, or is a list where no index is given, or an index is given
    /// for no list.
    #[error("{key} is no table")]
    NoTable { key: String },
}

/// Sets a key, given by its path under present or former names; tables on the way that are not
/// there are added.
///
/// # Errors
/// Where something on the way to the key is no table. The table may have grown by then.
pub(super) fn set_key(table: &mut Table, path: &KeyPath, value: Value) -> Result<(), SetKeyError> {
    let present = present_path(path);
    let (last, parents) = present.segments().split_last().ok_or(SetKeyError::Empty)?;
    let mut parent = table;
    let mut segments = parents.iter().zip(path.segments()).peekable();
    while let Some((segment, written)) = segments.next() {
        let child = parent
            .entry(segment.clone())
            .or_insert_with(|| Value::Table(Table::new()));
        let index = segments.peek().and_then(|(next, _)| index(next));
        parent = match (child, index) {
            (Value::Array(items), Some(index)) => {
                segments.next();
                table_in_list(items, written, index)?
            }
            (Value::Table(child), None) => child,
            _ => {
                let key = written.clone();
                return Err(SetKeyError::NoTable { key });
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
        Some(_) => Err(SetKeyError::ItemIsNoTable { list, index }),
        None => Err(SetKeyError::NoSuchItem { list, index }),
    }
}
