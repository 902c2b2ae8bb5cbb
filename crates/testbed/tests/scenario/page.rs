//! `docs/scenario.md` lists every key of scenario files with its default.

use std::collections::BTreeMap;
use std::path::Path;

use arrowstand_testbed::scenario::{
    Class, Clients, Contention, Discovery, Expectations, Fault, Load, LoadReports, MachineType,
    Network, Permissions, Prices, Rules, Scenario, ServerGroup, Sidecars, Tenant,
};
use serde::Serialize;
use serde_json::Value;

/// Headings of the page, in its order, with the defaults of the section under each.
fn defaults_by_heading() -> Vec<(&'static str, Value)> {
    vec![
        ("Top of the file", top_level_defaults()),
        ("`[network]`", defaults_of::<Network>()),
        ("`[[machine_type]]`", defaults_of::<MachineType>()),
        ("`contention`", defaults_of::<Contention>()),
        ("`[[servers]]`", defaults_of::<ServerGroup>()),
        ("`[sidecars]`", defaults_of::<Sidecars>()),
        ("`[[class]]`", defaults_of::<Class>()),
        ("`[[tenant]]`", defaults_of::<Tenant>()),
        ("`[load]`", defaults_of::<Load>()),
        ("`[clients]`", defaults_of::<Clients>()),
        ("`[discovery]`", defaults_of::<Discovery>()),
        ("`[load_reports]`", defaults_of::<LoadReports>()),
        ("`[permissions]`", defaults_of::<Permissions>()),
        ("`[rules]`", defaults_of::<Rules>()),
        ("`[prices]`", defaults_of::<Prices>()),
        ("`[[fault]]`", defaults_of::<Fault>()),
        ("`[expect]`", defaults_of::<Expectations>()),
    ]
}

fn defaults_of<S: Default + Serialize>() -> Value {
    serde_json::to_value(S::default()).expect("the section can be serialised")
}

/// Defaults of the keys at the top level of a file that are not sections.
fn top_level_defaults() -> Value {
    let mut scenario = defaults_of::<Scenario>();
    let keys = scenario.as_object_mut().expect("a table");
    keys.retain(|_, value| !value.is_object() && !value.is_array());
    scenario
}

/// Keys with their defaults in the page's key tables, by the heading above each table up to the
/// first colon.
fn key_tables_on_page() -> BTreeMap<String, BTreeMap<String, String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/scenario.md");
    let page = std::fs::read_to_string(path).expect("the page can be read");
    let mut tables: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
    let mut heading = "";
    let mut in_key_table = false;
    for line in page.lines() {
        if let Some(text) = line.strip_prefix('#') {
            let text = text.trim_start_matches('#').trim();
            heading = text.split(": ").next().unwrap_or(text);
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        match cells.as_slice() {
            ["", "key", "unit", "default", _, ""] => in_key_table = true,
            ["", key, _, default, _, ""] if in_key_table && key.starts_with('`') => {
                let table = tables.entry(heading.to_owned()).or_default();
                let key = key.trim_matches('`').to_owned();
                let earlier = table.insert(key, (*default).to_owned());
                assert_eq!(earlier, None, "{heading}: {line}");
            }
            _ => in_key_table &= line.starts_with('|'),
        }
    }
    tables
}

/// Parses a default on the page: `none` stands for an absent value, and strings are in backticks.
fn parse_default(text: &str) -> Value {
    let unquoted = text.trim_matches('`');
    match text {
        "none" => Value::Null,
        _ => serde_json::from_str(unquoted).unwrap_or_else(|_| unquoted.into()),
    }
}

/// Whether two values are equivalent: so are 40 and 40.0, and an absent value and an empty list.
fn are_equivalent(page: &Value, code: &Value) -> bool {
    match (page, code) {
        (Value::Null, Value::Array(items)) => items.is_empty(),
        (Value::Array(page), Value::Array(code)) => {
            page.len() == code.len() && page.iter().zip(code).all(|(p, c)| are_equivalent(p, c))
        }
        (Value::Number(page), Value::Number(code)) => page.as_f64() == code.as_f64(),
        _ => page == code,
    }
}

#[test]
fn the_page_lists_each_key_with_its_default_and_no_others() {
    let tables = key_tables_on_page();
    let sections = defaults_by_heading();

    for (heading, defaults) in &sections {
        let defaults = defaults.as_object().expect("a table");
        let table = tables.get(*heading).unwrap_or_else(|| panic!("{heading}"));
        let keys_on_page: Vec<&String> = table.keys().collect();
        let mut keys: Vec<&String> = defaults.keys().collect();
        keys.sort();
        assert_eq!(keys_on_page, keys, "{heading}");
        for (key, text) in table {
            let on_page = parse_default(text);
            let default = &defaults[key];
            assert!(
                are_equivalent(&on_page, default),
                "{heading}: {key} is {default}"
            );
        }
    }
    assert_eq!(tables.len(), sections.len(), "{:?}", tables.keys());
}
