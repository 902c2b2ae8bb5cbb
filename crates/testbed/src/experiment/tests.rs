//! Plans name figures as they are called now or were before; means have their confidence intervals.

use std::path::PathBuf;

use super::{Plan, ProgressDisplay, mean};

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
fn a_plan_with_old_figures_gives_the_same_table_as_one_with_their_present_names() {
    let table = |name: &str, figures: &str| {
        let path = plan_file(name, figures);
        let (plan, scenario) = Plan::open(&path).expect("good");
        std::fs::remove_file(&path).expect("removed");
        let results = plan.play(&scenario, ProgressDisplay::Hidden);
        results.expect("played").csv()
    };
    let old = table("old", "[\"whole\", \"list_calls_peak\", \"broken\"]");
    let new = table(
        "new",
        "[\"overall\", \"discovery_polls_peak\", \"violations\"]",
    );
    assert_eq!(old, new);
    let head = "load.of_capacity,overall,overall +-,discovery_polls_peak,discovery_polls_peak +-,\
                violations,violations +-,violations";
    assert_eq!(old.lines().next(), Some(head));
}

#[test]
fn a_figure_that_never_was_is_named_with_its_place() {
    let path = plan_file("unknown", "[\"service\", \"bliss\"]");
    let error = Plan::open(&path).expect_err("unknown").to_string();
    std::fs::remove_file(&path).expect("removed");
    assert!(
        error.contains("figures[1]") && error.contains("\"bliss\" is no figure"),
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
fn a_mean_has_no_width_for_one_value_and_students_for_more() {
    assert_eq!(mean(&[]), None);
    assert_eq!(mean(&[f64::NAN]), None);
    assert_eq!(mean(&[2.5]), Some((2.5, 0.0)));
    let (middle, half) = mean(&[1.0, 2.0, 3.0]).expect("values");
    // Student's t of two degrees of freedom at 0.975 is 4.3027, over the root of three.
    assert!((middle - 2.0).abs() < 1e-12 && (half - 4.3027 / 3f64.sqrt()).abs() < 1e-4);
}
