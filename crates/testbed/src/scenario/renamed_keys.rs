//! Keys of scenario files that were renamed, and their former names.
//!
//! Owns the list of renamed keys, and translates tables and paths either way. Present names stand
//! with the sections; `renamed_keys/tests.rs` holds that each present name is one of them.
//!
//! Scenarios written before the renaming stay readable: a table is brought to the present names
//! when it is loaded, a path when a key is set. Messages go the other way, and name a key as the
//! file has it.

use toml::{Table, Value};

use super::key_path::{KeyPath, index};

/// A key that has another name today.
struct RenamedKey {
    /// The section that has the key, by its present path without indexes; empty for the top of the
    /// file.
    section: &'static str,
    former: &'static str,
    present: &'static str,
}

const fn renamed(section: &'static str, former: &'static str, present: &'static str) -> RenamedKey {
    RenamedKey {
        section,
        former,
        present,
    }
}

/// All renamed keys. A section has at most one former name for a key.
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

/// A table that has a key under its present and its former name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("is the former name of {present}, which is given as well")]
pub(super) struct BothNamesGiven {
    /// Path of the key under its former name, as the file has it.
    pub(super) former: String,
    /// Present name of the key.
    present: &'static str,
}

/// The present name of a key of a section; the key itself where it was not renamed.
fn present_name<'a>(section: &str, key: &'a str) -> &'a str {
    RENAMED_KEYS
        .iter()
        .find(|renamed| renamed.section == section && renamed.former == key)
        .map_or(key, |renamed| renamed.present)
}

/// The former name of a key of a section, where it has one.
fn former_name(section: &str, key: &str) -> Option<&'static str> {
    RENAMED_KEYS
        .iter()
        .find(|renamed| renamed.section == section && renamed.present == key)
        .map(|renamed| renamed.former)
}

/// The path of a section within another; the top has an empty path.
fn join(section: &str, key: &str) -> String {
    if section.is_empty() {
        key.to_owned()
    } else {
        format!("{section}.{key}")
    }
}

/// A whole scenario's table with all keys under their present names.
///
/// # Errors
/// A key that is given under both names.
pub(super) fn with_present_names(table: Table) -> Result<Table, BothNamesGiven> {
    rename_table(table, "", "")
}

/// Renames the keys of a section; `path` is where the file has it, indexes included.
fn rename_table(table: Table, section: &str, path: &str) -> Result<Table, BothNamesGiven> {
    let mut renamed = Table::new();
    for (key, value) in table {
        let present = present_name(section, &key);
        let path = join(path, &key);
        let value = rename_value(value, &join(section, present), &path)?;
        let earlier = renamed.insert(present.to_owned(), value);
        if earlier.is_some() {
            return Err(both_names_given(section, present, &path));
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

/// `path` ends in either name of the key.
fn both_names_given(section: &str, present: &str, path: &str) -> BothNamesGiven {
    let renamed = RENAMED_KEYS
        .iter()
        .find(|renamed| renamed.section == section && renamed.present == present);
    let (former, present) = renamed.map_or(("", ""), |renamed| (renamed.former, renamed.present));
    let parent = path.rsplit_once('.').map_or("", |(parent, _)| parent);
    BothNamesGiven {
        former: join(parent, former),
        present,
    }
}

/// A path with all its keys under their present names.
pub(super) fn present_path(path: &KeyPath) -> KeyPath {
    let mut section = String::new();
    let mut segments = Vec::new();
    for segment in path.segments() {
        let mut name = segment.as_str();
        if index(segment).is_none() {
            name = present_name(&section, segment);
            section = join(&section, name);
        }
        segments.push(name.to_owned());
    }
    KeyPath::of(segments)
}

/// A path as a file has it: each key under its former name where `written` has it under that name.
pub(super) fn written_path(written: &Table, present: &KeyPath) -> KeyPath {
    let top = Value::Table(written.clone());
    let mut parent = Some(&top);
    let mut section = String::new();
    let mut segments = Vec::new();
    for segment in present.segments() {
        let mut name = segment.as_str();
        if let Some(index) = index(segment) {
            parent = parent.and_then(|list| list.get(index));
        } else {
            name = written_name(parent, &section, segment);
            parent = parent.and_then(|table| table.get(name));
            section = join(&section, segment);
        }
        segments.push(name.to_owned());
    }
    KeyPath::of(segments)
}

/// The name under which a file has a key of a section: the former one where `table`, the section as
/// the file has it, has a key of that name.
fn written_name<'a>(table: Option<&Value>, section: &str, key: &'a str) -> &'a str {
    let is_written = |former: &&str| table.is_some_and(|table| table.get(*former).is_some());
    former_name(section, key).filter(is_written).unwrap_or(key)
}

#[cfg(test)]
mod tests;
