use super::{KeyPath, RENAMED_KEYS, Table, present_path, with_present_names, written_path};
use crate::scenario::{Class, Contention, Fault, Load, MachineType, Scenario, ServerGroup};

fn table(text: &str) -> Table {
    text.parse().expect("TOML")
}

/// A section by its path, as it is written today, with all its keys but those without a value.
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
fn each_present_name_is_a_key_of_its_section_and_no_former_name_is() {
    for renamed in &RENAMED_KEYS {
        let section = section(renamed.section);
        assert!(section.contains_key(renamed.present), "{}", renamed.present);
        assert!(!section.contains_key(renamed.former), "{}", renamed.former);
    }
}

#[test]
fn a_table_with_former_names_gets_the_present_ones_at_every_depth() {
    let former = table(
        "kind = [{ name = 'a', cold_s = 1.0 }]\n[terminals]\nleave = 0.5\n[[trouble]]\nwhat = 'slow'",
    );
    let present = table(
        "machine_type = [{ name = 'a', slow_start_s = 1.0 }]\n[clients]\ndisconnect_share = 0.5\n\
         [[fault]]\nkind = 'slow'",
    );
    assert_eq!(with_present_names(former), Ok(present.clone()));
    assert_eq!(with_present_names(present.clone()), Ok(present));
}

#[test]
fn a_key_under_both_names_is_an_error_that_names_the_former() {
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
        let error = with_present_names(table(text)).expect_err(key);

        assert_eq!(error.former, key);
    }
}

#[test]
fn paths_are_brought_to_present_names_and_back_to_those_of_the_file() {
    let file = table(
        "[[trouble]]\ntimes = 2.0\n[[class]]\nlatency_objective_ms = 1.0\n\
         [[machine_type]]\nchoke = { at = 2.0 }",
    );
    for (written, present) in [
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
        let path = present_path(&KeyPath::parse(written));

        assert_eq!(path.to_string(), present);
        assert_eq!(written_path(&file, &path).to_string(), written);
    }
    let absent = KeyPath::parse("clients.disconnect_share");
    assert_eq!(written_path(&file, &absent), absent);
}

/// Section, former and present name of each row of the page's table of former names, the section
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
fn the_page_lists_each_renamed_key_once_and_no_others() {
    let mut in_code: Vec<[String; 3]> = RENAMED_KEYS
        .iter()
        .map(|renamed| {
            let section = match renamed.section {
                "" => "top of the file",
                section => section,
            };
            [section, renamed.former, renamed.present].map(str::to_owned)
        })
        .collect();
    let mut on_page = former_names_on_page();
    in_code.sort();
    on_page.sort();
    assert_eq!(on_page, in_code);
}
