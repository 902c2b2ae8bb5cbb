use proptest::prelude::*;

use super::*;
use crate::json::parse;

/// Documents with arrays at several depths, strings with brackets and commas, and repeated keys.
const DOCUMENTS: [&str; 12] = [
    r#"{"a": [1, [2, 3], {"b": [4, {}]}], "c": {"d": ["x,]", "\"", "ä,\\"]}}"#,
    r#"{"a": [1], "a": [2, 3], "\u0061": []}"#,
    r#"[{"a": []}, [ ], "", null]"#,
    "[]",
    " [ \n ] ",
    r#""[1, 2]""#,
    "7",
    "{\n  \"a\": [\n    {\n      \"b\": true\n    }\n  ],\n  \"e\": {}\n}\n",
    r#"{"a": [0, 0], "b": {"c": [0], "d": [[[]]]}}"#,
    r#"{"a": [1, 2]"#,
    r#"{"a": [1, , 2], "b": [3,]}"#,
    r#"{"a": [1}, "b": 2]"#,
];

fn error_message(text: &str) -> String {
    parse(text, 8).expect_err("not JSON").to_string()
}

/// Whether a text is parsed like a whole text by tinyjson.
fn is_parsed_as_a_whole(text: &str) -> bool {
    parse(text, usize::MAX).ok() == text.parse::<JsonValue>().ok()
}

#[test]
fn syntax_errors_have_their_position_in_the_document() {
    let cases = [
        "{\"a\": 1,}",
        "{\n \"ä\": [\"ö\", 2],\n \"b\": [3, {\n \"c\" 4}]}",
        "{\"a\": [1, 2], \"b\": [3], x}",
        "[1, 2",
        "{\"a\": [1, \"",
        "{\"a\": [1}",
        "[1] 2",
        "[\"a\": 1, 2]",
        "{\"a\": [1,, 2]}",
        "{\"a\": [1, 2,\n]}",
        "[,]",
        "[\"ä\" 2]",
        "",
    ];
    for text in cases {
        let whole = text.parse::<JsonValue>().expect_err("not JSON");
        assert_eq!(error_message(text), whole.to_string(), "{text}");
    }
}

#[test]
fn reason_of_a_syntax_error_does_not_repeat_the_text() {
    let key = "7,".repeat(100_000);
    let message = error_message(&format!("[{{[{key}7]: 1}}]"));
    assert!(message.len() < 400, "{} bytes", message.len());
}

/// Guards against a list that is parsed in one step: nothing else runs until that ends.
#[test]
fn each_step_parses_a_bounded_part_of_a_long_array() {
    const MAX_BYTES_PER_STEP: usize = 16 * 1024;
    let text = format!("[{}0]", "{\"key\": \"value\"},".repeat(10_000));
    let mut parser = StepwiseParser::new(&text, 8);
    let mut steps = 1;
    while parser.step().expect("JSON").is_none() {
        let elements = parser.open_array.as_ref().map(|array| array.elements.len());
        assert!(elements.is_some_and(|parsed| parsed <= steps * MAX_BYTES_PER_STEP / 16));
        steps += 1;
    }
    assert!(steps > text.len() / MAX_BYTES_PER_STEP, "{steps} steps");
}

proptest! {
    /// A document, and a document in which some bytes have been replaced, gives the same value as
    /// when it is parsed as a whole, or an error if that gives one.
    #[test]
    fn value_is_that_of_the_whole_text(
        document in prop::sample::select(DOCUMENTS.to_vec()),
        replacements in prop::collection::vec(
            (any::<prop::sample::Index>(), prop::sample::select(b"[]{},:\"\\ 0a\n".to_vec())),
            0..4,
        ),
    ) {
        let mut bytes = document.as_bytes().to_vec();
        for (index, byte) in replacements {
            let position = index.index(bytes.len());
            bytes[position] = byte;
        }
        let text = String::from_utf8_lossy(&bytes);
        prop_assert!(is_parsed_as_a_whole(&text), "{}", text);
    }
}
