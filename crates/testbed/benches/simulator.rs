//! How fast the simulator plays: ten seconds of the site's load, and a second of a thousand sidecars.
#![expect(
    missing_docs,
    reason = "criterion's macro makes a public function without one"
)]

use arrowstand_testbed::scenario::ScenarioFile;
use arrowstand_testbed::simulator;
use criterion::{Criterion, criterion_group, criterion_main};

/// A shipped scenario with keys set to other values.
fn scenario(name: &str, changes: &[(&str, f64)]) -> ScenarioFile {
    let path = format!("{}/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let changes: Vec<_> = changes
        .iter()
        .map(|(key, value)| ((*key).to_owned(), toml::Value::Float(*value)))
        .collect();
    ScenarioFile::open(path.as_ref())
        .and_then(|scenario| scenario.with_keys_set(&changes))
        .unwrap_or_else(|e| panic!("{e}"))
}

fn bench(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("simulator");
    group.sample_size(10);
    let site = scenario("calm", &[("seconds", 10.0), ("load.rate", 300.0)]);
    group.bench_function("site, 10 s, 300 requests a second", |bencher| {
        bencher.iter(|| simulator::run(&site.scenario, None));
    });
    let thousand = scenario("thousand", &[("seconds", 1.0)]);
    group.bench_function("1,000 sidecars, 1 s, 30,000 requests a second", |bencher| {
        bencher.iter(|| simulator::run(&thousand.scenario, None));
    });
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
