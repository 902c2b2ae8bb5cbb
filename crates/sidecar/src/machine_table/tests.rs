use super::parse;

#[test]
fn example_table_is_valid() {
    let text = include_str!("../../../../examples/machines.json");
    let mut machines = parse(text).expect("valid machine table");
    assert!(machines.lookup("std-3").cores > machines.lookup("slow-2").cores);
}

#[test]
fn errors_name_the_key() {
    let entry = r#"{"model": "a", "cores": 2, "speed": 1}"#;
    for (text, expected) in [
        (
            r#"{"machines": [{"model": "a", "cores": 0, "speed": 1}]}"#.to_owned(),
            "machines[0].cores: must be above zero and below 10000",
        ),
        (
            r#"{"machines": [{"model": "a", "cores": 2}]}"#.to_owned(),
            "machines[0].speed: is missing",
        ),
        (
            format!(r#"{{"machines": [{entry}, {entry}]}}"#),
            "machines[1].model: \"a\" is empty or duplicated",
        ),
        (r#"{"machine": []}"#.to_owned(), "machines: is missing"),
    ] {
        let error = parse(&text).expect_err(expected);
        assert_eq!(error.to_string(), expected);
    }
}
