//! Error messages for unknown keys, values of the wrong type and values out of range, and the order
//! of the errors in a file with several.

use std::path::Path;

use arrowstand_testbed::scenario::ScenarioFile;
use serde::Deserialize;

/// An invalid value for one key of `data/complete.toml`.
#[derive(Deserialize)]
struct InvalidValue {
    /// Path of the key.
    key: String,
    value: toml::Value,
    /// The complete expected message, with one line for each error.
    message: String,
}

/// The contents of `data/refusals.toml`.
#[derive(Deserialize)]
struct InvalidValues {
    #[serde(rename = "refusal")]
    invalid_values: Vec<InvalidValue>,
}

fn stored_text(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenario/data");
    std::fs::read_to_string(folder.join(name)).expect(name)
}

#[test]
fn each_invalid_key_or_value_is_rejected_with_the_stored_message() {
    let complete = ScenarioFile::read("complete.toml", &stored_text("complete.toml"))
        .unwrap_or_else(|errors| panic!("{errors}"));
    let stored: InvalidValues =
        toml::from_str(&stored_text("refusals.toml")).expect("valid test data");

    for InvalidValue {
        key,
        value,
        message,
    } in stored.invalid_values
    {
        let result = complete.with_keys_set(&[(key.clone(), value.clone())]);

        let found = result.expect_err(&format!("{key} = {value}")).to_string();
        assert_eq!(found, message, "{key} = {value}");
    }
}

#[test]
fn errors_are_sorted_by_line_and_within_a_line_in_the_order_of_the_checks() {
    let text = stored_text("many_errors.toml");

    let errors = ScenarioFile::read("many_errors.toml", &text).expect_err("errors");

    assert_eq!(format!("{errors}\n"), stored_text("many_errors.txt"));
}
