//! Scenario files with former key names: they are read, their keys can be set, and errors name the
//! keys as the file does.

use std::path::PathBuf;

use arrowstand_testbed::experiment::Plan;
use arrowstand_testbed::scenario::ScenarioFile;

use super::support::{
    VALID_SCENARIO, error_keys_and_lines, error_message_with_key, line_number_of, read_valid,
    with_key,
};

/// A small valid scenario, written with former key names.
const SCENARIO_WITH_FORMER_KEYS: &str = r#"
name = "small"
seconds = 10.0

[[kind]]
name = "std"
cold_s = 4.0
full_tax = 0.3
thrash = 0.1
thrash_at = 5.0
choke = { at = 5.5, over_s = 2.0, slower = 2.6, below = 0.3, rest_s = 3.0, most_s = 22.0 }

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
part = 0.5
servers = ["s1"]
"#;

#[test]
fn stored_scenarios_with_former_keys_equal_the_current_ones() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    for name in ["troubled", "consulta-roll"] {
        let open = |path: String| {
            let file = ScenarioFile::open(&root.join(path));
            let file = file.unwrap_or_else(|errors| panic!("{errors}"));
            format!("{:#?}", file.scenario)
        };

        let former = open(format!("tests/data/{name}-former-keys.toml"));
        let current = open(format!("scenarios/{name}.toml"));

        assert_eq!(former, current, "{name}");
    }
}

/// Part of [`SCENARIO_WITH_FORMER_KEYS`], its invalid replacement, and the key in the error.
const INVALID_VALUES: [(&str, &str, &str); 19] = [
    ("cold_s = 4.0", "cold_s = -4.0", "kind[0].cold_s"),
    ("cold_s = 4.0", "cold_s = \"long\"", "kind[0].cold_s"),
    ("full_tax = 0.3", "full_tax = 1.3", "kind[0].full_tax"),
    ("thrash = 0.1", "thrash = -0.1", "kind[0].thrash"),
    ("thrash_at = 5.0", "thrash_at = 0.0", "kind[0].thrash_at"),
    ("{ at = 5.5,", "{ at = 0.0,", "kind[0].choke.at"),
    ("over_s = 2.0", "over_s = -2.0", "kind[0].choke.over_s"),
    ("slower = 2.6", "slower = 0.5", "kind[0].choke.slower"),
    ("below = 0.3", "below = 5.5", "kind[0].choke.below"),
    ("rest_s = 3.0", "rest_s = \"long\"", "kind[0].choke.rest_s"),
    ("most_s = 22.0", "most_s = \"long\"", "kind[0].choke.most_s"),
    ("part = 0.5", "part = 1.5", "trouble[0].part"),
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

#[test]
fn an_invalid_value_is_reported_under_the_former_key_that_the_file_has() {
    assert_eq!(error_keys_and_lines(SCENARIO_WITH_FORMER_KEYS), []);

    for (part, replacement, key) in INVALID_VALUES {
        let text = SCENARIO_WITH_FORMER_KEYS.replacen(part, replacement, 1);

        let found = error_keys_and_lines(&text);

        let expected = (key.to_owned(), line_number_of(&text, replacement));
        assert!(
            found.contains(&expected),
            "{replacement}: {found:?}, expected {expected:?}"
        );
    }
}

#[test]
fn former_keys_can_be_set_in_files_with_former_or_current_keys() {
    for text in [VALID_SCENARIO, SCENARIO_WITH_FORMER_KEYS] {
        let file = read_valid(text);
        let set = |key: &str, value: toml::Value| with_key(&file, key, value).scenario;

        let by_former_key = set("trouble[0].times", 2.5.into());
        let by_current_key = set("fault[0].factor", 2.5.into());
        let fault = set("trouble[0].part", 0.4.into());
        let clients = set("terminals.leave", 0.4.into());
        let machine_type = set("kind[0].choke.slower", 3.5.into());
        let load = set("load.open_most", 60.into());
        let permissions = set("allow.probes", false.into());

        assert_eq!(by_former_key.fault[0].factor, 2.5);
        assert_eq!(by_current_key.fault[0].factor, 2.5);
        assert_eq!(fault.fault[0].target_share, 0.4);
        assert_eq!(clients.clients.disconnect_share, 0.4);
        let contention = machine_type.machine_type[0].contention.as_ref();
        assert_eq!(contention.map(|c| c.slowdown), Some(3.5));
        assert_eq!(load.load.max_open_requests, 60);
        assert!(!permissions.permissions.health_checks);
    }
}

#[test]
fn items_of_a_list_that_is_set_may_have_former_keys() {
    for text in [VALID_SCENARIO, SCENARIO_WITH_FORMER_KEYS] {
        let file = read_valid(text);
        let class = toml::toml! { name = "quote" aim_ms = 250.0 };

        let variant = with_key(&file, "class", vec![class]);

        assert_eq!(variant.scenario.class[0].latency_objective_ms, 250.0);
    }
}

#[test]
fn a_missing_item_is_reported_under_the_former_key_that_was_set() {
    for text in [VALID_SCENARIO, SCENARIO_WITH_FORMER_KEYS] {
        let file = read_valid(text);

        let message = error_message_with_key(&file, "trouble[4].times", 1.0);

        assert_eq!(
            message,
            "small.toml: trouble[4].times: there is no trouble[4]"
        );
    }
}

#[test]
fn a_key_under_both_its_former_and_current_name_is_rejected_with_line_and_key() {
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
    for (part, replacement, key) in cases {
        let text = SCENARIO_WITH_FORMER_KEYS.replacen(part, replacement, 1);

        let found = error_keys_and_lines(&text);

        let last_segment = key.rsplit('.').next().unwrap_or_default();
        let expected = (key.to_owned(), line_number_of(&text, last_segment));
        assert_eq!(found, [expected], "{replacement}");
    }
}

#[test]
fn a_stored_experiment_with_former_keys_as_axes_can_be_read_and_applied() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    let opened = Plan::open(&folder.join("experiment-former-keys.toml"));
    let (plan, file) = opened.unwrap_or_else(|errors| panic!("{errors}"));
    let last_values = plan.axis.iter().map(|axis| {
        let value = axis.values.last().expect("values");
        (axis.key.clone(), value.clone())
    });

    let variant = file.with_keys_set(&last_values.collect::<Vec<_>>());

    let scenario = variant.unwrap_or_else(|e| panic!("{e}")).scenario;
    assert_eq!(plan.axis.len(), 2);
    assert_eq!(scenario.fault[1].factor, 5.0);
    assert_eq!(scenario.clients.disconnect_share, 0.1);
}

#[test]
fn an_invalid_value_set_under_a_former_key_is_reported_under_the_key_that_the_file_has() {
    let cases = [
        (
            SCENARIO_WITH_FORMER_KEYS,
            "trouble[0].times: must be above zero",
        ),
        (VALID_SCENARIO, "fault[0].factor: must be above zero"),
    ];
    for (text, expected) in cases {
        let file = read_valid(text);

        let message = error_message_with_key(&file, "trouble[0].times", 0.0);

        assert!(message.ends_with(expected), "{message}");
    }
}
