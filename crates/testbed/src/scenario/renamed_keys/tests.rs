use super::{KeyPath, RENAMED_KEYS, Table, current_path, path_in_file, with_current_names};
use crate::scenario::{Class, Contention, Fault, Load, MachineType, Scenario, ServerGroup};

fn table(text: &str) -> Table {
    text.parse().expect("TOML")
}

/// The section at a path as currently serialized, with all keys that have a value.
fn section(path: &str) -> Table {
    let machine_type = MachineType {
        contention: Some(Contention::default()),
        ..MachineType::default()
    };
    let scenario = Scenario {
        machine_type: vec![machine_type],
        servers: vec![ServerGroup::default()],
        class: vec![Class::default()],
        fault: vec![Fault::default()],
        load: Load {
            work_hints: Some(0.1),
            ..Load::default()
        },
        ..Scenario::default()
    };
    let mut section = Table::try_from(scenario).expect("a table");
    for name in path.split('.').filter(|name| !name.is_empty()) {
        let value = section.get(name);
        let first = value.and_then(|value| value.get(0)).or(value);
        let table = first.and_then(toml::Value::as_table).cloned();
        section = table.unwrap_or_else(|| panic!("there is no section {path:?}"));
    }
    section
}

#[test]
fn only_current_names_are_keys_of_their_sections() {
    for renamed in &RENAMED_KEYS {
        let section = section(renamed.section);
        assert!(section.contains_key(renamed.current), "{}", renamed.current);
        assert!(!section.contains_key(renamed.former), "{}", renamed.former);
    }
}

#[test]
fn former_names_are_translated_at_every_depth() {
    let former = table(
        "kind = [{ name = 'a', cold_s = 1.0 }]\n[terminals]\nleave = 0.5\n\
         [[trouble]]\nwhat = 'slow'",
    );
    let current = table(
        "machine_type = [{ name = 'a', slow_start_s = 1.0 }]\n[clients]\ndisconnect_share = 0.5\n\
         [[fault]]\nkind = 'slow'",
    );
    assert_eq!(with_current_names(former), Ok(current.clone()));
    assert_eq!(with_current_names(current.clone()), Ok(current));
}

#[test]
fn key_under_both_names_is_an_error_at_the_former_name() {
    let cases = [
        (
            "[[class]]\naim_ms = 1.0\nlatency_objective_ms = 1.0",
            "class[0].aim_ms",
        ),
        ("[allow]\n[permissions]", "allow"),
        (
            "[[trouble]]\n[[trouble]]\ntimes = 2.0\nfactor = 2.0",
            "trouble[1].times",
        ),
        (
            "[terminals]\nleave = 0.1\ndisconnect_share = 0.1",
            "terminals.leave",
        ),
    ];
    for (text, key) in cases {
        let error = with_current_names(table(text)).expect_err(key);

        assert_eq!(error.former, key);
    }
}

#[test]
fn paths_are_translated_to_current_names_and_back_to_those_of_the_file() {
    let file = table(
        "[[trouble]]\ntimes = 2.0\n[[class]]\nlatency_objective_ms = 1.0\n\
         [[machine_type]]\nchoke = { at = 2.0 }",
    );
    for (written, current) in [
        ("trouble[0].times", "fault[0].factor"),
        (
            "class[0].latency_objective_ms",
            "class[0].latency_objective_ms",
        ),
        (
            "machine_type[0].choke.at",
            "machine_type[0].contention.overload_threshold",
        ),
        ("load.rate", "load.rate"),
    ] {
        let path = current_path(&KeyPath::parse(written));

        assert_eq!(path.to_string(), current);
        assert_eq!(path_in_file(&file, &path).to_string(), written);
    }
    let absent = KeyPath::parse("clients.disconnect_share");
    assert_eq!(path_in_file(&file, &absent), absent);
}

/// Section, former name and current name in each row of the page's table of former names; sections
/// without brackets.
fn former_names_on_page() -> Vec<[String; 3]> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/scenario.md");
    let page = std::fs::read_to_string(path).expect("the page");
    let (_, chapter) = page
        .split_once("\n## Former names of keys\n")
        .expect("the chapter");
    let is_name = |c: char| !"`[]".contains(c);
    let cell = |text: &str| text.trim().chars().filter(|c| is_name(*c)).collect();
    chapter
        .lines()
        .filter(|line| line.starts_with('|') && line.contains('`'))
        .map(|line| {
            let cells: Vec<String> = line.trim_matches('|').split('|').map(cell).collect();
            <[String; 3]>::try_from(cells).expect("three cells")
        })
        .collect()
}

#[test]
fn page_lists_exactly_the_renamed_keys() {
    let mut in_code: Vec<[String; 3]> = RENAMED_KEYS
        .iter()
        .map(|renamed| {
            let section = match renamed.section {
                "" => "top of the file",
                section => section,
            };
            [section, renamed.former, renamed.current].map(str::to_owned)
        })
        .collect();
    let mut on_page = former_names_on_page();
    in_code.sort();
    on_page.sort();
    assert_eq!(on_page, in_code);
}
