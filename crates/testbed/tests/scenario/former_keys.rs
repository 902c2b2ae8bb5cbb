//! Scenario files from before keys were renamed: read, set and reported as they name their keys.

use std::path::PathBuf;

use arrowstand_testbed::experiment::Plan;
use arrowstand_testbed::scenario::ScenarioFile;

use super::{GOOD, errors, line};

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
            let scenario = ScenarioFile::open(&root.join(path)).unwrap_or_else(|f| panic!("{f}"));
            format!("{:#?}", scenario.scenario)
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
            variant.unwrap_or_else(|f| panic!("{f}")).scenario
        };
        assert_eq!(set("trouble[0].times", 2.5.into()).fault[0].factor, 2.5);
        assert_eq!(set("fault[0].factor", 2.5.into()).fault[0].factor, 2.5);
        assert_eq!(
            set("terminals.leave", 0.4.into()).clients.disconnect_share,
            0.4
        );
        let machine_type = &set("kind[0].choke.slower", 3.5.into()).machine_type[0];
        assert_eq!(
            machine_type.contention.as_ref().map(|c| c.slowdown),
            Some(3.5)
        );
        assert_eq!(
            set("trouble[0].part", 0.4.into()).fault[0].target_share,
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

#[test]
fn a_stored_experiment_with_former_keys_as_axes_can_be_read() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    let opened = Plan::open(&path.join("experiment-former-keys.toml"));
    let (plan, scenario) = opened.unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(plan.axis.len(), 2);
    let changes = plan.axis.iter().map(|axis| {
        let value = axis.values.last().expect("values");
        (axis.key.clone(), value.clone())
    });
    let variant = scenario.with(&changes.collect::<Vec<_>>());
    let scenario = variant.unwrap_or_else(|e| panic!("{e}")).scenario;
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
        let scenario = ScenarioFile::read("small.toml", text).expect("good");
        let error = scenario.with(&[("trouble[0].times".to_owned(), 0.0.into())]);
        let message = error.expect_err("no factor").to_string();
        assert!(message.ends_with(wanted), "{message}");
    }
}
