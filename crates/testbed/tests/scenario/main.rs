//! Scenario files: shipped and stored ones can be read, what contradicts itself is refused with
//! line and key, and keys, defaults, messages and their page agree.

mod defaults;
mod former_keys;
mod page;
mod refusals;
mod support;

use std::path::{Path, PathBuf};

use arrowstand_testbed::scenario::ScenarioFile;

use support::{GOOD, errors, line, message, message_with_key, read, with_key};

/// A drain of the server that crashes in [`GOOD`], two seconds after its crash.
const DRAIN_OF_THE_CRASHED_SERVER: &str = r#"
[[fault]]
kind = "drain"
at_s = 4.0
servers = ["s1"]
"#;

/// A part of [`GOOD`], what stands in its place, and the key that is named then. The wrong key is
/// in the last line of the replacement.
const WRONG_VALUES_AND_KEYS: [(&str, &str, &str); 12] = [
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
fn a_wrong_value_or_key_is_named_by_line_and_key() {
    assert_eq!(errors(GOOD), []);

    for (part, replacement, key) in WRONG_VALUES_AND_KEYS {
        let text = GOOD.replacen(part, replacement, 1);

        let found = errors(&text);

        let wrong_line = replacement
            .lines()
            .last()
            .and_then(|last| line(&text, last));
        let wanted = (key.to_owned(), wrong_line);
        assert!(
            found.contains(&wanted),
            "{replacement}: {found:?}, wanted {wanted:?}"
        );
    }
}

/// Keys of choices, and all values that scenario files have for them, whatever the code calls the
/// variants.
const CHOICES: [(&str, &[&str]); 8] = [
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
fn every_value_of_a_choice_is_read_and_written_under_its_stored_name() {
    let scenario = read(GOOD);
    for (key, values) in CHOICES {
        for value in values {
            let changed = with_key(&scenario, key, *value);

            let written = toml::Value::try_from(&changed.scenario).expect("a table");

            assert_eq!(value_at(&written, key), Some(&(*value).into()), "{key}");
        }
    }
}

#[test]
fn shares_that_add_up_to_more_than_one_are_refused() {
    let text = format!("{GOOD}\n[[class]]\nname = \"quote\"\nshare = 0.5\n");

    let message = message(&text);

    assert!(
        message.contains("class: shares add up to 1.100"),
        "{message}"
    );
}

#[test]
fn a_drain_of_a_server_that_has_crashed_is_refused() {
    let text = format!("{GOOD}{DRAIN_OF_THE_CRASHED_SERVER}");

    let message = message(&text);

    let last_line = text.lines().count();
    let wanted = format!("small.toml:{last_line}: fault[1].servers: s1 is already removed");
    assert!(message.starts_with(&wanted), "{message}");
}

#[test]
fn a_drain_of_a_server_that_is_back_after_a_crash_is_accepted() {
    let later = DRAIN_OF_THE_CRASHED_SERVER.replace("at_s = 4.0", "at_s = 5.5");

    let found = errors(&format!("{GOOD}{later}"));

    assert_eq!(found, []);
}

#[test]
fn several_errors_are_reported_together() {
    let text = GOOD
        .replace("count = 3", "count = 0")
        .replace("share = 0.6", "share = 2.0");

    let found = errors(&text);

    for key in ["servers", "class[0].share"] {
        assert!(found.iter().any(|(named, _)| named == key), "{found:?}");
    }
    assert!(found.len() >= 2, "{found:?}");
}

#[test]
fn broken_toml_is_reported_by_its_line() {
    let broken = GOOD.replace("[[class]]", "[[class");

    let message = message(&broken);

    let broken_line = line(&broken, "[[class").expect("there");
    let wanted = format!("small.toml:{broken_line}: ");
    assert!(message.starts_with(&wanted), "{message}");
}

#[test]
fn a_key_that_is_set_takes_effect_in_the_variant_only() {
    let scenario = read(GOOD);

    let more_sidecars = with_key(&scenario, "sidecars.count", 7);
    let milder_fault = with_key(&scenario, "fault[0].factor", 2.5);

    assert_eq!(more_sidecars.scenario.sidecars.count, 7);
    assert_eq!(milder_fault.scenario.fault[0].factor, 2.5);
    assert_eq!(scenario.scenario.sidecars.count, 3);
}

#[test]
fn a_key_that_cannot_be_set_is_refused_by_name() {
    let scenario = read(GOOD);
    for (key, value) in [
        ("sidecars.count", -1),
        ("fault[4].factor", 1),
        ("seconds.x", 1),
        ("load.speed", 1),
    ] {
        let message = message_with_key(&scenario, key, value);

        let section = key.split('.').next().unwrap_or_default();
        assert!(message.contains(section), "{key}: {message}");
    }
}

#[test]
fn more_arrivals_than_memory_holds_are_refused() {
    let long = GOOD.replace("seconds = 10.0", "seconds = 1e7");

    let found = errors(&format!("{long}\n[load]\nrate = 1000.0\n"));

    assert!(found.iter().any(|(key, _)| key == "load"), "{found:?}");
}

/// The TOML files of a folder.
fn files_in(folder: &Path) -> Vec<PathBuf> {
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
    let shipped = [files_in(&folder), files_in(&folder.join("losses"))].concat();

    for path in &shipped {
        ScenarioFile::open(path).unwrap_or_else(|errors| panic!("{errors}"));
    }

    assert!(shipped.len() >= 8, "{}", shipped.len());
}
