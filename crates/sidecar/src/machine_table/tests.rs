use std::time::{Duration, Instant};

use super::parse;

#[tokio::test(flavor = "current_thread")]
async fn example_table_is_valid() {
    let text = include_str!("../../../../examples/machines.json");
    let mut machines = parse(text).await.expect("valid machine table");
    assert!(machines.lookup("std-3").cores > machines.lookup("slow-2").cores);
}

#[tokio::test(flavor = "current_thread")]
async fn errors_name_the_key() {
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
        let error = parse(&text).await.expect_err(expected);
        assert_eq!(error.to_string(), expected);
    }
}

/// Guards against comparing each model of a table with each other one, at the start, at SIGHUP and
/// for each server of a list: work by the square of the table holds the thread.
#[tokio::test(flavor = "current_thread")]
async fn table_of_many_models_is_read_within_the_limit_for_a_busy_thread() {
    const MODELS: usize = 64_000;
    /// From the platform: a thread that neither waits nor ends for this long counts as crashed.
    const BUSY_THREAD_LIMIT: Duration = Duration::from_secs(20);
    let entry = |n: usize| format!(r#"{{"model": "m{n}", "cores": 2, "speed": 1}}"#);
    let entries: Vec<String> = (0..MODELS).map(entry).collect();
    let text = format!(r#"{{"machines": [{}]}}"#, entries.join(","));
    let started_at = Instant::now();

    let mut machines = parse(&text).await.expect("valid machine table");
    let last_ids = (0..MODELS).map(|n| machines.lookup(&format!("m{n}")).id);

    assert_eq!(last_ids.last(), Some(64_000));
    assert!(started_at.elapsed() < BUSY_THREAD_LIMIT);
}
