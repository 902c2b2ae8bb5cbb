//! Tests of scenario files: shipped and stored ones can be read, invalid ones are rejected with
//! line and key, and keys, defaults and error messages match the stored ones and the documentation.

mod defaults;
mod former_keys;
mod invalid_values;
mod page;
mod support;

use std::path::{Path, PathBuf};

use arrowstand_testbed::scenario::ScenarioFile;

use support::{
    VALID_SCENARIO, error_keys_and_lines, error_message, error_message_with_key, line_number_of,
    read_valid, with_key,
};

/// A drain of the server that crashes in [`VALID_SCENARIO`], two seconds after the crash.
const DRAIN_OF_CRASHED_SERVER: &str = r#"
[[fault]]
kind = "drain"
at_s = 4.0
servers = ["s1"]
"#;

/// Part of [`VALID_SCENARIO`], its invalid replacement, and the key in the error. The invalid key
/// is in the last line of the replacement.
const INVALID_VALUES_AND_KEYS: [(&str, &str, &str); 12] = [
    ("seconds = 10.0", "seconds = -1.0", "seconds"),
    ("seconds = 10.0", "seconds = \"long\"", "seconds"),
    ("seconds = 10.0", "secs = 10.0", "secs"),
    ("count = 3", "count = -3", "servers[0].count"),
    (
        "machine_type = \"std\"",
        "machine_type = \"other\"",
        "servers[0].machine_type",
    ),
    ("share = 0.6", "share = 1.6", "class[0].share"),
    (
        "share = 0.6",
        "share = 0.6\ndeadline_ms = 10.0",
        "class[0].deadline_ms",
    ),
    ("at_s = 2.0", "at_s = -2.0", "fault[0].at_s"),
    ("at_s = 2.0", "at_s = 20.0", "fault[0].at_s"),
    ("kind = \"crash\"", "kind = \"quake\"", "fault[0].kind"),
    (
        "servers = [\"s1\"]",
        "servers = [\"s9\"]",
        "fault[0].servers[0]",
    ),
    ("servers = [\"s1\"]", "zone = \"tokyo\"", "fault[0].zone"),
];

#[test]
fn an_invalid_value_or_key_is_reported_with_line_and_key() {
    assert_eq!(error_keys_and_lines(VALID_SCENARIO), []);

    for (part, replacement, key) in INVALID_VALUES_AND_KEYS {
        let text = VALID_SCENARIO.replacen(part, replacement, 1);

        let found = error_keys_and_lines(&text);

        let invalid_line = replacement
            .lines()
            .last()
            .and_then(|last| line_number_of(&text, last));
        let expected = (key.to_owned(), invalid_line);
        assert!(
            found.contains(&expected),
            "{replacement}: {found:?}, expected {expected:?}"
        );
    }
}

/// Keys with enumerated values, and all their values as scenario files name them. The names of the
/// enum variants may differ.
const ENUM_VALUES: [(&str, &[&str]); 8] = [
    (
        "fault[0].kind",
        &[
            "pause", "silence", "slow", "crash", "drain", "replace", "burst", "costly", "spoilt",
        ],
    ),
    (
        "fault[0].kind",
        &[
            "resets",
            "errors",
            "roll",
            "restart_all",
            "discovery_down",
            "discovery_silent",
        ],
    ),
    ("class[0].idempotency", &["safe", "unsafe", "keyed"]),
    ("class[0].deduplication_scope", &["all", "zone"]),
    ("class[0].dist", &["fixed", "exp", "lognormal"]),
    ("load.shape", &["steady", "ramp", "swing", "brim"]),
    ("load_reports.source", &["probe", "answers"]),
    ("machine_type[0].cancel", &["none", "queued", "all"]),
];

/// The value of a key such as `fault[0].kind` in a table.
fn value_at<'a>(table: &'a toml::Value, key: &str) -> Option<&'a toml::Value> {
    key.split(['.', '['])
        .try_fold(table, |parent, segment| match segment.strip_suffix(']') {
            Some(index) => parent.get(index.parse::<usize>().ok()?),
            None => parent.get(segment),
        })
}

#[test]
fn every_enum_value_is_read_and_written_under_its_stored_name() {
    let scenario = read_valid(VALID_SCENARIO);
    for (key, values) in ENUM_VALUES {
        for value in values {
            let changed = with_key(&scenario, key, *value);

            let written = toml::Value::try_from(&changed.scenario).expect("a table");

            assert_eq!(value_at(&written, key), Some(&(*value).into()), "{key}");
        }
    }
}

#[test]
fn class_shares_with_a_sum_above_one_are_rejected() {
    let text = format!("{VALID_SCENARIO}\n[[class]]\nname = \"quote\"\nshare = 0.5\n");

    let message = error_message(&text);

    assert!(
        message.contains("class: shares add up to 1.100"),
        "{message}"
    );
}

#[test]
fn a_drain_of_a_crashed_server_is_rejected() {
    let text = format!("{VALID_SCENARIO}{DRAIN_OF_CRASHED_SERVER}");

    let message = error_message(&text);

    let last_line = text.lines().count();
    let expected = format!("small.toml:{last_line}: fault[1].servers: s1 is already removed");
    assert!(message.starts_with(&expected), "{message}");
}

#[test]
fn a_drain_of_a_server_that_has_restarted_after_a_crash_is_accepted() {
    let later = DRAIN_OF_CRASHED_SERVER.replace("at_s = 4.0", "at_s = 5.5");

    let found = error_keys_and_lines(&format!("{VALID_SCENARIO}{later}"));

    assert_eq!(found, []);
}

#[test]
fn several_errors_are_reported_together() {
    let text = VALID_SCENARIO
        .replace("count = 3", "count = 0")
        .replace("share = 0.6", "share = 2.0");

    let found = error_keys_and_lines(&text);

    for key in ["servers", "class[0].share"] {
        assert!(found.iter().any(|(named, _)| named == key), "{found:?}");
    }
    assert!(found.len() >= 2, "{found:?}");
}

#[test]
fn invalid_toml_is_reported_with_its_line() {
    let invalid = VALID_SCENARIO.replace("[[class]]", "[[class");

    let message = error_message(&invalid);

    let invalid_line = line_number_of(&invalid, "[[class").expect("a line with the invalid header");
    let expected = format!("small.toml:{invalid_line}: ");
    assert!(message.starts_with(&expected), "{message}");
}

#[test]
fn setting_a_key_changes_the_copy_and_not_the_original() {
    let scenario = read_valid(VALID_SCENARIO);

    let with_seven_sidecars = with_key(&scenario, "sidecars.count", 7);
    let with_factor = with_key(&scenario, "fault[0].factor", 2.5);

    assert_eq!(with_seven_sidecars.scenario.sidecars.count, 7);
    assert_eq!(with_factor.scenario.fault[0].factor, 2.5);
    assert_eq!(scenario.scenario.sidecars.count, 3);
}

#[test]
fn a_key_that_cannot_be_set_is_named_in_the_error() {
    let scenario = read_valid(VALID_SCENARIO);
    for (key, value) in [
        ("sidecars.count", -1),
        ("fault[4].factor", 1),
        ("seconds.x", 1),
        ("load.speed", 1),
    ] {
        let message = error_message_with_key(&scenario, key, value);

        let section = key.split('.').next().unwrap_or_default();
        assert!(message.contains(section), "{key}: {message}");
    }
}

#[test]
fn a_scenario_with_too_many_arrivals_is_rejected() {
    let long = VALID_SCENARIO.replace("seconds = 10.0", "seconds = 1e7");

    let found = error_keys_and_lines(&format!("{long}\n[load]\nrate = 1000.0\n"));

    assert!(found.iter().any(|(key, _)| key == "load"), "{found:?}");
}

/// The TOML files of a folder.
fn toml_files_in(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("a folder");
    entries
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "toml")
        })
        .collect()
}

#[test]
fn every_shipped_scenario_can_be_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let shipped = [
        toml_files_in(&folder),
        toml_files_in(&folder.join("losses")),
    ]
    .concat();

    for path in &shipped {
        ScenarioFile::open(path).unwrap_or_else(|errors| panic!("{errors}"));
    }

    assert!(shipped.len() >= 8, "{}", shipped.len());
}
