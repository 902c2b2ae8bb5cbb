//! What is said of a key that does not exist, of a value of another type, and of one out of range;
//! and in which order, where a file has several errors.

use std::path::Path;

use arrowstand_testbed::scenario::ScenarioFile;
use serde::Deserialize;

/// A value that one key of `data/complete.toml` must not have.
#[derive(Deserialize)]
struct Refusal {
    /// Path of the key.
    key: String,
    /// The value.
    value: toml::Value,
    /// The whole message, one line for each error.
    message: String,
}

/// What `data/refusals.toml` holds.
#[derive(Deserialize)]
struct Refusals {
    refusal: Vec<Refusal>,
}

fn stored_text(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenario/data");
    std::fs::read_to_string(folder.join(name)).expect(name)
}

#[test]
fn each_wrong_key_or_value_is_refused_with_the_stored_message() {
    let complete = ScenarioFile::read("complete.toml", &stored_text("complete.toml"))
        .unwrap_or_else(|errors| panic!("{errors}"));
    let refusals: Refusals = toml::from_str(&stored_text("refusals.toml")).expect("refusals");

    for Refusal {
        key,
        value,
        message,
    } in refusals.refusal
    {
        let set = complete.with_keys_set(&[(key.clone(), value.clone())]);

        let found = set.expect_err(&format!("{key} = {value}")).to_string();
        assert_eq!(found, message, "{key} = {value}");
    }
}

#[test]
fn errors_are_reported_by_line_and_on_one_line_in_the_order_of_the_checks() {
    let text = stored_text("many_errors.toml");

    let errors = ScenarioFile::read("many_errors.toml", &text).expect_err("errors");

    assert_eq!(format!("{errors}\n"), stored_text("many_errors.txt"));
}
