//! How fast the model plays: a second of the site's day, and a second of a thousand sidecars.

use arrowstand_testbed::scenario::ScenarioFile;
use arrowstand_testbed::simulator;
use criterion::{Criterion, criterion_group, criterion_main};

fn day(name: &str, changes: &[(&str, f64)]) -> ScenarioFile {
    let path = format!("{}/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let changes: Vec<_> = changes
        .iter()
        .map(|(k, v)| ((*k).to_owned(), toml::Value::Float(*v)))
        .collect();
    ScenarioFile::open(path.as_ref())
        .and_then(|s| s.with(&changes))
        .unwrap_or_else(|f| panic!("{f}"))
}

fn bench(c: &mut Criterion) {
    let mut group = c.benchmark_group("model");
    group.sample_size(10);
    let site = day("calm", &[("seconds", 10.0), ("load.rate", 300.0)]);
    group.bench_function("site, 10 s, 300 requests a second", |b| {
        b.iter(|| simulator::run(&site.day, None))
    });
    let thousand = day("thousand", &[("seconds", 1.0)]);
    group.bench_function("1,000 sidecars, 1 s, 30,000 requests a second", |b| {
        b.iter(|| simulator::run(&thousand.day, None));
    });
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
