//! Scenario files from before keys were renamed: read, set and reported as they name their keys.

use std::path::PathBuf;

use arrowstand_testbed::experiment::Plan;
use arrowstand_testbed::scenario::ScenarioFile;

use super::support::{GOOD, errors, line, message_with_key, read, with_key};

/// The small scenario as it was written before keys were renamed.
const FORMER: &str = r#"
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
fn stored_scenarios_with_former_keys_give_the_same_scenario_as_the_present_files() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    for name in ["troubled", "consulta-roll"] {
        let open = |path: String| {
            let file = ScenarioFile::open(&root.join(path));
            let file = file.unwrap_or_else(|errors| panic!("{errors}"));
            format!("{:#?}", file.scenario)
        };

        let former = open(format!("tests/data/{name}-former-keys.toml"));
        let present = open(format!("scenarios/{name}.toml"));

        assert_eq!(former, present, "{name}");
    }
}

/// A part of [`FORMER`], what stands in its place, and the key that is named then.
const WRONG_VALUES: [(&str, &str, &str); 19] = [
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
fn a_wrong_value_in_a_file_with_former_keys_is_named_as_the_file_names_it() {
    assert_eq!(errors(FORMER), []);

    for (part, replacement, key) in WRONG_VALUES {
        let text = FORMER.replacen(part, replacement, 1);

        let found = errors(&text);

        let wanted = (key.to_owned(), line(&text, replacement));
        assert!(
            found.contains(&wanted),
            "{replacement}: {found:?}, wanted {wanted:?}"
        );
    }
}

#[test]
fn former_keys_can_be_set_in_files_of_either_names() {
    for text in [GOOD, FORMER] {
        let file = read(text);
        let set = |key: &str, value: toml::Value| with_key(&file, key, value).scenario;

        let by_former_key = set("trouble[0].times", 2.5.into());
        let by_present_key = set("fault[0].factor", 2.5.into());
        let fault = set("trouble[0].part", 0.4.into());
        let clients = set("terminals.leave", 0.4.into());
        let machine_type = set("kind[0].choke.slower", 3.5.into());
        let load = set("load.open_most", 60.into());
        let permissions = set("allow.probes", false.into());

        assert_eq!(by_former_key.fault[0].factor, 2.5);
        assert_eq!(by_present_key.fault[0].factor, 2.5);
        assert_eq!(fault.fault[0].target_share, 0.4);
        assert_eq!(clients.clients.disconnect_share, 0.4);
        let contention = machine_type.machine_type[0].contention.as_ref();
        assert_eq!(contention.map(|c| c.slowdown), Some(3.5));
        assert_eq!(load.load.max_open_requests, 60);
        assert!(!permissions.permissions.health_checks);
    }
}

#[test]
fn a_list_that_is_set_may_have_former_keys_in_its_items() {
    for text in [GOOD, FORMER] {
        let file = read(text);
        let class = toml::toml! { name = "quote" aim_ms = 250.0 };

        let variant = with_key(&file, "class", vec![class]);

        assert_eq!(variant.scenario.class[0].latency_objective_ms, 250.0);
    }
}

#[test]
fn a_missing_item_is_named_by_the_former_key_that_was_set() {
    for text in [GOOD, FORMER] {
        let file = read(text);

        let message = message_with_key(&file, "trouble[4].times", 1.0);

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
    for (part, replacement, key) in cases {
        let text = FORMER.replacen(part, replacement, 1);

        let found = errors(&text);

        let last_of_key = key.rsplit('.').next().unwrap_or_default();
        let wanted = (key.to_owned(), line(&text, last_of_key));
        assert_eq!(found, [wanted], "{replacement}");
    }
}

#[test]
fn a_stored_experiment_with_former_keys_as_axes_can_be_read() {
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
fn a_wrong_value_set_under_a_former_key_is_named_as_the_file_names_the_key() {
    let cases = [
        (FORMER, "trouble[0].times: must be above zero"),
        (GOOD, "fault[0].factor: must be above zero"),
    ];
    for (text, wanted) in cases {
        let file = read(text);

        let message = message_with_key(&file, "trouble[0].times", 0.0);

        assert!(message.ends_with(wanted), "{message}");
    }
}
