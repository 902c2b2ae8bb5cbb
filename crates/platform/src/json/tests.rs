use super::{Node, nesting_depth, parse};

#[test]
fn an_error_names_the_path_of_the_key() {
    let value = parse(r#"{"a": [{"b-c": "x", "n": -1}], "z": null}"#, 8).expect("JSON");
    let root = Node::root(&value);
    let items = root.at("a").items().expect("an array");
    let message = |error: crate::KeyError| error.to_string();
    assert_eq!(
        items[0].at("b-c").number().map_err(message),
        Err("a[0].b-c: must be a number".to_owned())
    );
    assert_eq!(
        items[0].at("n").number().map_err(message),
        Err("a[0].n: must not be negative".to_owned())
    );
    assert_eq!(
        root.at("a").text().map_err(message),
        Err("a: must be a text".to_owned())
    );
    assert_eq!(
        root.at("a").optional_flag().map_err(message),
        Err("a: must be true or false".to_owned())
    );
    assert_eq!(
        root.at("z").text().map_err(message),
        Err("z: is missing".to_owned())
    );
    assert!(root.at("b").at("c").items().expect("absent").is_empty());
    assert!(items[0].items().is_err());
}

#[test]
fn a_text_nested_deeper_than_allowed_is_an_error() {
    assert!(parse("[[1]]", 2).is_ok());
    let error = parse("[[[1]]]", 2).expect_err("too deep");
    assert_eq!(error.to_string(), "nested deeper than 2");
    assert!(parse(r#"["[[[\"["]"#, 1).is_ok(), "brackets in a string");
}

#[test]
fn the_nesting_depth_is_that_of_the_end() {
    assert_eq!(nesting_depth(br#"{"a": ["#), 2);
    assert_eq!(nesting_depth(br#"{"a": "[{"}"#), 0);
    assert_eq!(nesting_depth(b"}"), 0);
}
