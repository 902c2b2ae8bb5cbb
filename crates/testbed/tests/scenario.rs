//! Scenario files: shipped and stored ones can be read, and what contradicts itself is refused with line and key.

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

/// The small scenario as it was written before keys were renamed.
const FORMER: &str = r#"
name = "small"
seconds = 10.0

[[kind]]
name = "std"
cold_s = 4.0

[[servers]]
kind = "std"
count = 3

[[class]]
name = "job-status"
share = 0.6
aim_ms = 300.0

[terminals]
leave = 0.1

[[trouble]]
what = "crash"
at_s = 2.0
for_s = 3.0
times = 2.0
servers = ["s1"]
"#;

/// Keys and lines of what is wrong with a text.
fn errors(text: &str) -> Vec<(String, Option<usize>)> {
    match ScenarioFile::read("small.toml", text) {
        Ok(_) => Vec::new(),
        Err(errors) => {
            let errors = errors.faults.into_iter();
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
        (more.day.sidecars.count, scenario.day.sidecars.count),
        (7, 3)
    );
    assert_eq!(
        set("fault[0].factor", 2.5.into()).expect("set").day.fault[0].factor,
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

#[test]
fn stored_scenarios_with_former_keys_give_the_same_scenario_as_the_present_files() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    for name in ["troubled", "consulta-roll"] {
        let open = |path: String| {
            let scenario = ScenarioFile::open(&root.join(path)).unwrap_or_else(|f| panic!("{f}"));
            format!("{:#?}", scenario.day)
        };
        let former = open(format!("tests/data/{name}-former-keys.toml"));
        let present = open(format!("scenarios/{name}.toml"));
        assert_eq!(former, present, "{name}");
    }
}

#[test]
fn a_wrong_value_in_a_file_with_former_keys_is_named_as_the_file_names_it() {
    assert_eq!(errors(FORMER), []);
    let cases = [
        ("cold_s = 4.0", "cold_s = -4.0", "kind[0].cold_s"),
        ("cold_s = 4.0", "cold_s = \"long\"", "kind[0].cold_s"),
        ("kind = \"std\"", "kind = \"other\"", "servers[0].kind"),
        ("aim_ms = 300.0", "aim_ms = 0.0", "class[0].aim_ms"),
        ("leave = 0.1", "leave = 2.0", "terminals.leave"),
        ("at_s = 2.0", "at_s = 20.0", "trouble[0].at_s"),
        ("times = 2.0", "times = 0.0", "trouble[0].times"),
        ("what = \"crash\"", "what = \"quake\"", "trouble[0].what"),
        (
            "servers = [\"s1\"]",
            "servers = [\"s9\"]",
            "trouble[0].servers[0]",
        ),
    ];
    for (from, to, key) in cases {
        let text = FORMER.replacen(from, to, 1);
        let found = errors(&text);
        let wanted = (key.to_owned(), line(&text, to));
        assert!(
            found.contains(&wanted),
            "{to}: {found:?}, wanted {wanted:?}"
        );
    }
}

#[test]
fn former_keys_can_be_set_in_files_of_either_names() {
    for text in [GOOD, FORMER] {
        let scenario = ScenarioFile::read("small.toml", text).expect("good");
        let set = |key: &str, value: toml::Value| {
            let variant = scenario.with(&[(key.to_owned(), value)]);
            variant.unwrap_or_else(|f| panic!("{f}")).day
        };
        assert_eq!(set("trouble[0].times", 2.5.into()).fault[0].factor, 2.5);
        assert_eq!(set("fault[0].factor", 2.5.into()).fault[0].factor, 2.5);
        assert_eq!(
            set("terminals.leave", 0.4.into()).clients.disconnect_share,
            0.4
        );
        assert_eq!(set("load.open_most", 60.into()).load.max_open_requests, 60);
        assert!(!set("allow.probes", false.into()).permissions.health_checks);
        let class = toml::toml! { name = "quote" aim_ms = 250.0 };
        let classes = set("class", vec![class].into()).class;
        assert_eq!(classes[0].latency_objective_ms, 250.0);
        let missing = scenario.with(&[("trouble[4].times".to_owned(), 1.0.into())]);
        let message = missing.expect_err("one fault only").to_string();
        assert_eq!(
            message,
            "small.toml: trouble[4].times: there is no trouble[4]"
        );
    }
}

#[test]
fn a_key_under_its_former_and_its_present_name_is_refused_with_line_and_key() {
    let cases = [
        (
            "aim_ms = 300.0",
            "aim_ms = 300.0\nlatency_objective_ms = 300.0",
            "class[0].aim_ms",
        ),
        (
            "times = 2.0",
            "factor = 2.0\ntimes = 2.0",
            "trouble[0].times",
        ),
        (
            "leave = 0.1",
            "leave = 0.1\n[clients]\nretries = 1",
            "terminals",
        ),
    ];
    for (from, to, key) in cases {
        let text = FORMER.replacen(from, to, 1);
        let last_of_key = key.rsplit('.').next().unwrap_or_default();
        let wanted = line(&text, last_of_key);
        assert_eq!(errors(&text), [(key.to_owned(), wanted)], "{to}");
    }
}
