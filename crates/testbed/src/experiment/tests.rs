//! Tests of experiments: figure names of plans, the shipped plans, and confidence intervals.

use std::path::PathBuf;

use super::{Plan, ProgressDisplay, mean_with_interval};

fn plan_file(name: &str, figures: &str) -> PathBuf {
    let scenario = format!("{}/scenarios/try.toml", env!("CARGO_MANIFEST_DIR"));
    let text = format!(
        "name = \"load\"\nscenario = {scenario:?}\nfigures = {figures}\nseeds = 1\n\
         [[axis]]\nkey = \"load.of_capacity\"\nvalues = [0.3]\n[set]\nseconds = 2.0\n"
    );
    let file = format!("arrowstand-testbed-{}-{name}.toml", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).expect("written");
    path
}

#[test]
fn old_and_current_figure_names_give_the_same_table() {
    let table = |name: &str, figures: &str| {
        let path = plan_file(name, figures);
        let (plan, scenario) = Plan::open(&path).expect("good");
        std::fs::remove_file(&path).expect("removed");
        let results = plan.run(&scenario, ProgressDisplay::Hidden);
        results.expect("run").csv()
    };
    let old = table("old", "[\"whole\", \"list_calls_peak\", \"broken\"]");
    let new = table(
        "new",
        "[\"overall\", \"discovery_polls_peak\", \"violations\"]",
    );
    assert_eq!(old, new);
    let header = "load.of_capacity,overall,overall +-,discovery_polls_peak,discovery_polls_peak +-,\
                violations,violations +-,violations";
    assert_eq!(old.lines().next(), Some(header));
}

#[test]
fn the_error_of_an_unknown_figure_names_it_and_its_index() {
    let path = plan_file("unknown", "[\"service\", \"no_such_figure\"]");
    let error = Plan::open(&path).expect_err("unknown").to_string();
    std::fs::remove_file(&path).expect("removed");
    assert!(
        error.contains("figures[1]") && error.contains("\"no_such_figure\" is not a figure"),
        "{error}"
    );
}

#[test]
fn every_shipped_plan_opens() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments");
    let plans: Vec<PathBuf> = std::fs::read_dir(folder)
        .expect("there")
        .map(|entry| entry.expect("read").path())
        .collect();
    assert!(!plans.is_empty());
    for path in plans {
        Plan::open(&path).unwrap_or_else(|errors| panic!("{errors}"));
    }
}

#[test]
fn the_interval_of_a_mean_is_0_for_one_value_and_students_for_more() {
    assert_eq!(mean_with_interval(&[]), None);
    assert_eq!(mean_with_interval(&[f64::NAN]), None);
    assert_eq!(mean_with_interval(&[2.5]), Some((2.5, 0.0)));
    let (mean, half_width) = mean_with_interval(&[1.0, 2.0, 3.0]).expect("values");
    // The quantile 0.975 of Student's t with two degrees of freedom is 4.3027; it is divided by the
    // square root of the number of values.
    assert!((mean - 2.0).abs() < 1e-12 && (half_width - 4.3027 / 3f64.sqrt()).abs() < 1e-4);
}
