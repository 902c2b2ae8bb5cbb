//! Benchmarks of the simulator's speed: ten seconds of the site's load, and one second of a
//! thousand sidecars.
#![expect(
    missing_docs,
    reason = "criterion's macro generates an undocumented public function"
)]

use arrowstand_testbed::scenario::ScenarioFile;
use arrowstand_testbed::simulator;
use criterion::{Criterion, criterion_group, criterion_main};

/// Loads a scenario of the repository with some of its keys set to other values.
fn load_scenario(name: &str, overrides: &[(&str, f64)]) -> ScenarioFile {
    let path = format!("{}/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let overrides: Vec<_> = overrides
        .iter()
        .map(|(key, value)| ((*key).to_owned(), toml::Value::Float(*value)))
        .collect();
    ScenarioFile::open(path.as_ref())
        .and_then(|scenario| scenario.with_keys_set(&overrides))
        .unwrap_or_else(|e| panic!("{e}"))
}

fn bench_simulator(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("simulator");
    group.sample_size(10);
    let site = load_scenario("calm", &[("seconds", 10.0), ("load.rate", 300.0)]);
    group.bench_function("site, 10 s, 300 requests a second", |bencher| {
        bencher.iter(|| simulator::run(&site.scenario, None));
    });
    let thousand_sidecars = load_scenario("thousand", &[("seconds", 1.0)]);
    group.bench_function("1,000 sidecars, 1 s, 30,000 requests a second", |bencher| {
        bencher.iter(|| simulator::run(&thousand_sidecars.scenario, None));
    });
    group.finish();
}

criterion_group!(benches, bench_simulator);
criterion_main!(benches);
