//! `docs/scenario.md` describes the keys that scenarios have: each one, with its default.

use std::collections::BTreeMap;
use std::path::Path;

use arrowstand_testbed::scenario::{
    Class, Clients, Contention, Discovery, Expectations, Fault, Load, LoadReports, MachineType,
    Network, Permissions, Prices, Rules, Scenario, ServerGroup, Sidecars, Tenant,
};
use serde::Serialize;
use serde_json::Value;

/// Headings of the page, in its order, and the defaults of the section under each.
fn sections() -> Vec<(&'static str, Value)> {
    vec![
        ("Top of the file", keys_outside_sections()),
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
    serde_json::to_value(S::default()).expect("JSON")
}

/// Defaults of the keys at the top of a file that are no sections.
fn keys_outside_sections() -> Value {
    let mut scenario = defaults_of::<Scenario>();
    let keys = scenario.as_object_mut().expect("a table");
    keys.retain(|_, value| !value.is_object() && !value.is_array());
    scenario
}

/// The page's tables of keys, by the start of the heading above each: key and default of each row.
fn tables_of_keys() -> BTreeMap<String, BTreeMap<String, String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/scenario.md");
    let page = std::fs::read_to_string(path).expect("the page");
    let mut tables: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
    let mut heading = "";
    let mut in_table_of_keys = false;
    for line in page.lines() {
        if let Some(text) = line.strip_prefix('#') {
            let text = text.trim_start_matches('#').trim();
            heading = text.split(": ").next().unwrap_or(text);
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        match cells.as_slice() {
            ["", "key", "unit", "default", _, ""] => in_table_of_keys = true,
            ["", key, _, default, _, ""] if in_table_of_keys && key.starts_with('`') => {
                let table = tables.entry(heading.to_owned()).or_default();
                let key = key.trim_matches('`').to_owned();
                let earlier = table.insert(key, (*default).to_owned());
                assert_eq!(earlier, None, "{heading}: {line}");
            }
            _ => in_table_of_keys &= line.starts_with('|'),
        }
    }
    tables
}

/// A default as the page writes it: `none` for what is absent, strings in backticks.
fn value_on_page(text: &str) -> Value {
    let unquoted = text.trim_matches('`');
    match text {
        "none" => Value::Null,
        _ => serde_json::from_str(unquoted).unwrap_or_else(|_| unquoted.into()),
    }
}

/// Whether two values are the same to a reader: 40 and 40.0 are, and so are an absent key and an
/// empty list.
fn is_same(page: &Value, code: &Value) -> bool {
    match (page, code) {
        (Value::Null, Value::Array(items)) => items.is_empty(),
        (Value::Array(page), Value::Array(code)) => {
            page.len() == code.len() && page.iter().zip(code).all(|(p, c)| is_same(p, c))
        }
        (Value::Number(page), Value::Number(code)) => page.as_f64() == code.as_f64(),
        _ => page == code,
    }
}

#[test]
fn the_page_has_each_key_with_its_default_and_no_others() {
    let tables = tables_of_keys();
    let sections = sections();

    for (heading, defaults) in &sections {
        let defaults = defaults.as_object().expect("a table");
        let table = tables.get(*heading).unwrap_or_else(|| panic!("{heading}"));
        let keys_on_page: Vec<&String> = table.keys().collect();
        let mut keys: Vec<&String> = defaults.keys().collect();
        keys.sort();
        assert_eq!(keys_on_page, keys, "{heading}");
        for (key, text) in table {
            let on_page = value_on_page(text);
            let default = &defaults[key];
            assert!(is_same(&on_page, default), "{heading}: {key} is {default}");
        }
    }
    assert_eq!(tables.len(), sections.len(), "{:?}", tables.keys());
}
