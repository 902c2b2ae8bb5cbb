use super::{NestingTracker, Node, parse};

/// A document whose values have types that the tests do not read them as.
const DOCUMENT: &str = r#"{"a": [{"b-c": "x", "n": -1}], "z": null}"#;

#[test]
fn error_names_the_path_of_the_key() {
    let value = parse(DOCUMENT, 8).expect("JSON");
    let root = Node::root(&value);
    let item = &root.at("a").items().expect("an array")[0];

    let errors = [
        item.at("b-c").number().expect_err("a text"),
        item.at("n").number().expect_err("a negative number"),
        root.at("a").string().expect_err("an array"),
        root.at("a").optional_boolean().expect_err("an array"),
        root.at("z").string().expect_err("null"),
    ];

    let messages = errors.map(|error| error.to_string());
    let expected = [
        "a[0].b-c: must be a number",
        "a[0].n: must be finite and not negative",
        "a: must be a string",
        "a: must be true or false",
        "z: is missing",
    ];
    assert_eq!(messages, expected);
}

#[test]
fn absent_array_has_no_items_and_an_object_is_rejected() {
    let value = parse(DOCUMENT, 8).expect("JSON");
    let root = Node::root(&value);
    let object = &root.at("a").items().expect("an array")[0];

    let absent = root.at("b").at("c").items();

    assert!(absent.expect("absent").is_empty());
    assert!(object.items().is_err());
}

#[test]
fn text_nested_deeper_than_allowed_is_rejected() {
    assert!(parse("[[1]]", 2).is_ok());
    let error = parse("[[[1]]]", 2).expect_err("too deep");
    assert_eq!(error.to_string(), "nested deeper than 2 levels");
    assert!(parse(r#"["[[[\"["]"#, 1).is_ok(), "brackets in a string");
}

#[test]
fn nesting_depth_counts_the_brackets_left_open_at_the_end() {
    let depth_at_end = |text: &str| {
        let mut nesting = NestingTracker::default();
        text.bytes().for_each(|byte| nesting.on_byte(byte));
        nesting.depth()
    };
    assert_eq!(depth_at_end(r#"{"a": ["#), 2);
    assert_eq!(depth_at_end(r#"{"a": "[{"}"#), 0);
    assert_eq!(depth_at_end(r#"{"a": "\"[{"}"#), 0);
    assert_eq!(depth_at_end("}"), 0);
}
