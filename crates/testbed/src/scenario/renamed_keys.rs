//! Renamed keys of scenario files: translation between former and current names.
//!
//! Scenarios with former names stay readable: a table is translated to the current names when it is
//! loaded, a path when a key is set. Messages are translated the other way and name a key as the
//! file does.
//!
//! The current names are the fields of the sections' types; `renamed_keys/tests.rs` checks that
//! each name here is one of them.

use toml::{Table, Value};

use super::key_path::{KeyPath, parse_index};

/// A key with a former name.
struct RenamedKey {
    /// Path of the section with the key, under current names and without indexes; empty for the top
    /// level.
    section: &'static str,
    former: &'static str,
    current: &'static str,
}

const fn renamed(section: &'static str, former: &'static str, current: &'static str) -> RenamedKey {
    RenamedKey {
        section,
        former,
        current,
    }
}

/// All renamed keys. A key has at most one former name.
const RENAMED_KEYS: [RenamedKey; 49] = [
    renamed("", "kind", "machine_type"),
    renamed("", "shop", "tenant"),
    renamed("", "terminals", "clients"),
    renamed("", "allow", "permissions"),
    renamed("", "reports", "load_reports"),
    renamed("", "trouble", "fault"),
    renamed("machine_type", "cold_from", "cold_capacity_share"),
    renamed("machine_type", "cold_s", "slow_start_s"),
    renamed("machine_type", "probe_ms", "health_check_ms"),
    renamed("machine_type", "probes_per_s", "health_checks_per_s"),
    renamed("machine_type", "thrash", "thrashing"),
    renamed("machine_type", "thrash_at", "thrashing_threshold"),
    renamed("machine_type", "full_tax", "connection_overhead"),
    renamed("machine_type", "choke", "contention"),
    renamed("machine_type.contention", "at", "overload_threshold"),
    renamed("machine_type.contention", "over_s", "overload_s"),
    renamed("machine_type.contention", "slower", "slowdown"),
    renamed("machine_type.contention", "below", "recovery_threshold"),
    renamed("machine_type.contention", "rest_s", "recovery_s"),
    renamed("machine_type.contention", "most_s", "max_s"),
    renamed("servers", "kind", "machine_type"),
    renamed("sidecars", "knows_kinds", "knows_machine_types"),
    renamed("class", "aim_ms", "latency_objective_ms"),
    renamed("class", "worth", "priority_weight"),
    renamed("class", "late_worth", "late_value"),
    renamed("class", "effect", "idempotency"),
    renamed("class", "group", "deduplication_scope"),
    renamed("class", "window_ms", "deduplication_window_ms"),
    renamed("load", "hints", "work_hints"),
    renamed("load", "worth_by_work", "weight_by_work"),
    renamed("load", "open_most", "max_open_requests"),
    renamed("clients", "patience", "timeout_share"),
    renamed("clients", "honour", "honour_retry_after"),
    renamed("clients", "leave", "disconnect_share"),
    renamed("permissions", "probes", "health_checks"),
    renamed("permissions", "cancel", "cancellation"),
    renamed("permissions", "second_copies", "hedging"),
    renamed("permissions", "idle_s", "idle_timeout_s"),
    renamed("permissions", "probe_timeout_ms", "health_check_timeout_ms"),
    renamed("permissions", "ask_every_ms", "max_poll_interval_ms"),
    renamed("rules", "fall_multiple", "cold_overload_factor"),
    renamed("rules", "fall_ms", "cold_overload_window_ms"),
    renamed("rules", "answer_grace_ms", "response_grace_ms"),
    renamed("rules", "stage_extra_ms", "emulator_extra_ms"),
    renamed("rules", "over_share_worth", "over_share_weight"),
    renamed("prices", "probe", "health_check"),
    renamed("fault", "what", "kind"),
    renamed("fault", "times", "factor"),
    renamed("fault", "part", "target_share"),
];

/// A table has a key under both its current and its former name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("is the former name of {current}, which is given as well")]
pub(super) struct BothNamesGiven {
    /// Path of the key as in the file, under its former name.
    pub(super) former: String,
    /// Current name of the key.
    current: &'static str,
}

/// The current name of a key in a section; the key itself if it was not renamed.
fn current_name<'a>(section: &str, key: &'a str) -> &'a str {
    RENAMED_KEYS
        .iter()
        .find(|renamed| renamed.section == section && renamed.former == key)
        .map_or(key, |renamed| renamed.current)
}

/// The former name of a key in a section, if it has one.
fn former_name(section: &str, key: &str) -> Option<&'static str> {
    RENAMED_KEYS
        .iter()
        .find(|renamed| renamed.section == section && renamed.current == key)
        .map(|renamed| renamed.former)
}

/// The path of a key in a section; the path of the top level is empty.
fn join_path(section: &str, key: &str) -> String {
    if section.is_empty() {
        key.to_owned()
    } else {
        format!("{section}.{key}")
    }
}

/// Translates all keys of a scenario's table to their current names.
///
/// # Errors
/// Returns the first key that is given under both names.
pub(super) fn with_current_names(table: Table) -> Result<Table, BothNamesGiven> {
    rename_table(table, "", "")
}

/// Translates the keys of a section; `path` is its path in the file, with indexes.
fn rename_table(table: Table, section: &str, path: &str) -> Result<Table, BothNamesGiven> {
    let mut renamed = Table::new();
    for (key, value) in table {
        let current = current_name(section, &key);
        let path = join_path(path, &key);
        let value = rename_value(value, &join_path(section, current), &path)?;
        let earlier = renamed.insert(current.to_owned(), value);
        if earlier.is_some() {
            return Err(both_names_given(section, current, &path));
        }
    }
    Ok(renamed)
}

fn rename_value(value: Value, section: &str, path: &str) -> Result<Value, BothNamesGiven> {
    match value {
        Value::Table(table) => rename_table(table, section, path).map(Value::Table),
        Value::Array(items) => {
            let renamed = items
                .into_iter()
                .enumerate()
                .map(|(i, item)| rename_value(item, section, &format!("{path}[{i}]")));
            renamed.collect::<Result<_, _>>().map(Value::Array)
        }
        value => Ok(value),
    }
}

/// Creates the error for a key; `path` ends in either of its names.
fn both_names_given(section: &str, current: &str, path: &str) -> BothNamesGiven {
    let renamed = RENAMED_KEYS
        .iter()
        .find(|renamed| renamed.section == section && renamed.current == current);
    let (former, current) = renamed.map_or(("", ""), |renamed| (renamed.former, renamed.current));
    let parent = path.rsplit_once('.').map_or("", |(parent, _)| parent);
    BothNamesGiven {
        former: join_path(parent, former),
        current,
    }
}

/// Translates all keys of a path to their current names.
pub(super) fn current_path(path: &KeyPath) -> KeyPath {
    let mut section = String::new();
    let mut segments = Vec::new();
    for segment in path.segments() {
        let mut name = segment.as_str();
        if parse_index(segment).is_none() {
            name = current_name(&section, segment);
            section = join_path(&section, name);
        }
        segments.push(name.to_owned());
    }
    KeyPath::from_segments(segments)
}

/// Translates a path to the names in a file: a key gets its former name if `file_table` has it
/// under that name.
pub(super) fn path_in_file(file_table: &Table, current: &KeyPath) -> KeyPath {
    let top = Value::Table(file_table.clone());
    let mut parent = Some(&top);
    let mut section = String::new();
    let mut segments = Vec::new();
    for segment in current.segments() {
        let mut name = segment.as_str();
        if let Some(index) = parse_index(segment) {
            parent = parent.and_then(|list| list.get(index));
        } else {
            name = name_in_file(parent, &section, segment);
            parent = parent.and_then(|table| table.get(name));
            section = join_path(&section, segment);
        }
        segments.push(name.to_owned());
    }
    KeyPath::from_segments(segments)
}

/// The name of a key in a file: the former one if `table`, the section as in the file, has a key of
/// that name.
fn name_in_file<'a>(table: Option<&Value>, section: &str, key: &'a str) -> &'a str {
    let is_in_file = |former: &&str| table.is_some_and(|table| table.get(*former).is_some());
    former_name(section, key).filter(is_in_file).unwrap_or(key)
}

#[cfg(test)]
mod tests;
