//! Scenario files: shipped and stored ones can be read, and what contradicts itself is refused with
//! line and key.

mod defaults;
mod former_keys;
mod page;
mod refusals;

use std::path::PathBuf;

use arrowstand_testbed::scenario::ScenarioFile;

/// A small scenario without a fault in it.
const GOOD: &str = r#"
name = "small"
seconds = 10.0

[[machine_type]]
name = "std"

[[servers]]
machine_type = "std"
count = 3

[[class]]
name = "job-status"
share = 0.6

[[fault]]
kind = "crash"
at_s = 2.0
for_s = 3.0
servers = ["s1"]
"#;

/// Keys and lines of what is wrong with a text.
fn errors(text: &str) -> Vec<(String, Option<usize>)> {
    match ScenarioFile::read("small.toml", text) {
        Ok(_) => Vec::new(),
        Err(errors) => {
            let errors = errors.errors.into_iter();
            errors.map(|error| (error.key, error.line)).collect()
        }
    }
}

/// The first line of a text that contains something, counted from 1.
fn line(text: &str, part: &str) -> Option<usize> {
    let position = text.lines().position(|line| line.contains(part));
    position.map(|position| position + 1)
}

#[test]
fn a_wrong_value_or_key_is_named_by_line_and_key() {
    assert_eq!(errors(GOOD), []);
    let cases = [
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
    for (from, to, key) in cases {
        let text = GOOD.replacen(from, to, 1);
        let found = errors(&text);
        let wanted = to.lines().last().and_then(|last| line(&text, last));
        assert!(
            found.contains(&(key.to_owned(), wanted)),
            "{to}: {found:?}, wanted {key} {wanted:?}"
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
    let scenario = ScenarioFile::read("small.toml", GOOD).expect("good");
    for (key, values) in CHOICES {
        for value in values {
            let changed = scenario.with(&[(key.to_owned(), (*value).into())]);
            let changed = changed.unwrap_or_else(|errors| panic!("{errors}"));
            let written = toml::Value::try_from(&changed.scenario).expect("a table");
            assert_eq!(value_at(&written, key), Some(&(*value).into()), "{key}");
        }
    }
}

#[test]
fn shares_above_one_and_a_drain_of_a_crashed_server_are_refused() {
    let more = "\n[[class]]\nname = \"quote\"\nshare = 0.5\n";
    let text = format!("{GOOD}{more}");
    let message = ScenarioFile::read("small.toml", &text)
        .expect_err("too much")
        .to_string();
    assert!(
        message.contains("class: shares add up to 1.100"),
        "{message}"
    );
    let drain = "\n[[fault]]\nkind = \"drain\"\nat_s = 4.0\nservers = [\"s1\"]\n";
    let text = format!("{GOOD}{drain}");
    let message = ScenarioFile::read("small.toml", &text)
        .expect_err("gone by then")
        .to_string();
    let at = text.lines().count();
    assert!(
        message.starts_with(&format!(
            "small.toml:{at}: fault[1].servers: s1 is not there"
        )),
        "{message}"
    );
    // Once it is back, it can be drained.
    assert_eq!(errors(&text.replace("at_s = 4.0", "at_s = 5.5")), []);
}

#[test]
fn several_errors_are_reported_together_and_broken_toml_by_its_line() {
    let text = GOOD
        .replace("count = 3", "count = 0")
        .replace("share = 0.6", "share = 2.0");
    assert!(errors(&text).len() >= 2);
    let broken = GOOD.replace("[[class]]", "[[class");
    let message = ScenarioFile::read("small.toml", &broken)
        .expect_err("broken")
        .to_string();
    let at = line(&broken, "[[class").expect("there");
    assert!(
        message.starts_with(&format!("small.toml:{at}: ")),
        "{message}"
    );
}

#[test]
fn a_key_that_is_set_takes_effect_and_an_impossible_one_is_refused() {
    let scenario = ScenarioFile::read("small.toml", GOOD).expect("good");
    let set = |key: &str, value: toml::Value| scenario.with(&[(key.to_owned(), value)]);
    let more = set("sidecars.count", 7.into()).expect("set");
    assert_eq!(
        (
            more.scenario.sidecars.count,
            scenario.scenario.sidecars.count
        ),
        (7, 3)
    );
    assert_eq!(
        set("fault[0].factor", 2.5.into())
            .expect("set")
            .scenario
            .fault[0]
            .factor,
        2.5
    );
    for (key, value) in [
        ("sidecars.count", -1),
        ("fault[4].factor", 1),
        ("seconds.x", 1),
        ("load.speed", 1),
    ] {
        let message = set(key, value.into()).expect_err(key).to_string();
        assert!(
            message.contains(key.split('.').next().unwrap_or_default()),
            "{key}: {message}"
        );
    }
}

#[test]
fn more_arrivals_than_memory_holds_are_refused() {
    let text = GOOD.replace("seconds = 10.0", "seconds = 1e7");
    let found = errors(&format!("{text}\n[load]\nrate = 1000.0\n"));
    assert!(found.iter().any(|(key, _)| key == "load"), "{found:?}");
}

#[test]
fn every_shipped_scenario_can_be_read() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut read = 0;
    for folder in [folder.clone(), folder.join("losses")] {
        for entry in std::fs::read_dir(folder).expect("scenarios") {
            let path = entry.expect("entry").path();
            if path.extension().is_some_and(|e| e == "toml") {
                ScenarioFile::open(&path).unwrap_or_else(|f| panic!("{f}"));
                read += 1;
            }
        }
    }
    assert!(read >= 8, "{read}");
}
