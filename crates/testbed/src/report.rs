//! What a run is summed up in: figures as data, as text, and beside another run's.

use std::fmt::{self, Write as _};

use serde::{Deserialize, Serialize};

use crate::audit::Auditor;
use crate::event_log::RequestOutcome;
use crate::scenario::Expect;

/// One second of arrivals, by class: `[asked, served in time, served late, refused, failed]`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second(pub Vec<[u32; 5]>);

impl Second {
    pub fn new(classes: usize) -> Self {
        Self(vec![[0; 5]; classes])
    }

    pub fn add(&mut self, class: usize, how: RequestOutcome, in_time: bool) {
        let Some(row) = self.0.get_mut(class) else {
            return;
        };
        row[0] += 1;
        let at = match how {
            RequestOutcome::Served if in_time => 1,
            RequestOutcome::Served => 2,
            RequestOutcome::Rejected | RequestOutcome::Unreachable | RequestOutcome::NotPlayed => 3,
            _ => 4,
        };
        row[at] += 1;
    }
}

/// Figures of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassFigures {
    pub name: String,
    pub service: Option<f64>,
    /// Wishes by their end.
    pub ended: Vec<(RequestOutcome, u64)>,
    /// 50, 90, 99, 99.9 and 100 % of what was served, in milliseconds from the wish.
    pub latency_ms: [f64; 5],
}

/// Figures of one shop, within its share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantFigures {
    pub name: String,
    pub service: Option<f64>,
}

/// Figures of one job server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerFigures {
    #[serde(alias = "routed")]
    pub attempts: u64,
    #[serde(alias = "arrived")]
    pub received: u64,
    #[serde(alias = "turned_away")]
    pub rejected: u64,
    #[serde(alias = "probes")]
    pub health_checks: u64,
    pub handshakes: u64,
    /// Work done, in seconds of a standard core.
    pub work_s: f64,
    #[serde(alias = "fell")]
    pub overloaded_cold: bool,
    pub gauges: u64,
    #[serde(alias = "held_sum")]
    pub in_flight_sum: u64,
    #[serde(alias = "held_most")]
    pub in_flight_max: u32,
    pub connections_sum: u64,
    #[serde(alias = "connections_most")]
    pub connections_max: u32,
}

/// A run, summed up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub name: String,
    /// `model` or `stage`.
    pub engine: String,
    pub seed: u64,
    pub seconds: f64,
    pub sidecars: usize,
    pub servers: usize,
    /// Worth answered in time over worth asked for, as the brief weighs its parts.
    pub service: f64,
    pub service_after_prices: f64,
    #[serde(alias = "whole")]
    pub overall: f64,
    #[serde(alias = "worst_stretch")]
    pub worst_window: f64,
    pub worst_class: f64,
    #[serde(alias = "worst_shop")]
    pub worst_tenant: f64,
    /// Wishes, their tries, and those of them that a sidecar took.
    #[serde(alias = "asked")]
    pub arrivals: u64,
    #[serde(alias = "tries")]
    pub requests: u64,
    #[serde(alias = "transactions")]
    pub accepted: u64,
    /// Transactions by their answer.
    #[serde(alias = "answered")]
    pub responses: Vec<(RequestOutcome, u64)>,
    #[serde(alias = "routed")]
    pub attempts: u64,
    #[serde(alias = "crossing")]
    pub cross_zone_attempts: u64,
    #[serde(alias = "probes")]
    pub health_checks: u64,
    pub handshakes: u64,
    #[serde(alias = "list_calls")]
    pub discovery_polls: u64,
    /// Most calls at discovery in one second.
    #[serde(alias = "list_calls_peak")]
    pub discovery_polls_peak: u32,
    /// Share of the work done that served no answer.
    #[serde(alias = "wasted")]
    pub wasted_work: f64,
    pub latency_ms: [f64; 5],
    /// From the last restart of a sidecar to 0.95 of the service before.
    pub recovered_s: Option<f64>,
    pub classes: Vec<ClassFigures>,
    #[serde(alias = "shops")]
    pub tenants: Vec<TenantFigures>,
    pub timeline: Vec<Second>,
    #[serde(alias = "fleet")]
    pub servers_by_number: Vec<ServerFigures>,
    /// Broken rules, as lines.
    #[serde(alias = "broken")]
    pub violations: Vec<String>,
    #[serde(alias = "broken_count")]
    pub violation_count: u64,
    /// Expectations that were missed.
    #[serde(alias = "missed")]
    pub missed_expectations: Vec<String>,
    /// Where sidecars' counters and the stand-ins' differ.
    #[serde(alias = "uncounted")]
    pub counter_differences: Vec<String>,
    /// Why the figures are not to be relied on, where the machine ran late.
    #[serde(alias = "late")]
    pub unreliable: Option<String>,
    /// What else there is to say.
    pub remarks: Vec<String>,
}

impl Report {
    /// Takes over what the auditor found.
    pub fn audited(&mut self, auditor: &Auditor) {
        self.violations = auditor.breaches.iter().map(ToString::to_string).collect();
        self.violation_count = auditor.count;
    }

    pub fn count(&self, how: RequestOutcome) -> u64 {
        self.responses
            .iter()
            .find(|(h, _)| *h == how)
            .map_or(0, |(_, n)| *n)
    }

    /// Share of the transactions that was served.
    pub fn served(&self) -> f64 {
        self.count(RequestOutcome::Served) as f64 / self.accepted.max(1) as f64
    }

    /// Holds the figures against what was expected.
    pub fn expect(&mut self, expect: &Expect) {
        let mut missed = Vec::new();
        let mut least = |name: &str, got: f64, wanted: Option<f64>| {
            if let Some(wanted) = wanted.filter(|w| got < *w) {
                missed.push(format!("{name} is {got:.3}, below {wanted:.3}"));
            }
        };
        least("service", self.service, expect.service);
        least("served", self.served(), expect.served);
        if let Some(most) = expect.recovered_s {
            match self.recovered_s {
                Some(took) if took <= most => {}
                Some(took) => missed.push(format!("recovered_s is {took:.1}, above {most:.1}")),
                None => missed.push(format!(
                    "recovered_s: not recovered, {most:.1} were expected"
                )),
            }
        }
        self.missed_expectations = missed;
    }

    /// True where all held.
    pub fn holds(&self) -> bool {
        self.violation_count == 0
            && self.missed_expectations.is_empty()
            && self.counter_differences.is_empty()
            && self.unreliable.is_none()
    }

    /// Figures by name, for tables and plots.
    pub fn figure(&self, name: &str) -> Option<f64> {
        let per_server = |sum: f64| sum / self.seconds / self.servers.max(1) as f64;
        let gauged = |f: fn(&ServerFigures) -> u64| {
            let means = self
                .servers_by_number
                .iter()
                .filter(|s| s.gauges > 0)
                .map(|s| f(s) as f64 / s.gauges as f64);
            means.sum::<f64>() / self.servers.max(1) as f64
        };
        let most = |f: fn(&ServerFigures) -> u64| {
            self.servers_by_number.iter().map(f).max().unwrap_or(0) as f64
        };
        let share = |how: RequestOutcome| self.count(how) as f64 / self.accepted.max(1) as f64;
        Some(match name {
            "service" => self.service,
            "service_after_prices" => self.service_after_prices,
            "whole" => self.overall,
            "worst_stretch" => self.worst_window,
            "worst_class" => self.worst_class,
            "worst_shop" => self.worst_tenant,
            "served" => self.served(),
            "refused" => share(RequestOutcome::Rejected),
            "failed" => share(RequestOutcome::Failed),
            "wasted" => self.wasted_work,
            "goodput" => self.overall * self.arrivals as f64 / self.seconds,
            "probes_per_server" => per_server(self.health_checks as f64),
            "probes_most" => most(|s| s.health_checks) / self.seconds,
            "handshakes_per_server" => per_server(self.handshakes as f64),
            "handshakes_most" => most(|s| s.handshakes) / self.seconds,
            "connections_most" => most(|s| u64::from(s.connections_max)),
            "connections_per_server" => gauged(|s| s.connections_sum),
            "held_per_server" => gauged(|s| s.in_flight_sum),
            "list_calls" => self.discovery_polls as f64 / self.seconds,
            "list_calls_peak" => f64::from(self.discovery_polls_peak),
            "crossing" => self.cross_zone_attempts as f64 / self.attempts.max(1) as f64,
            "routed" => self.attempts as f64 / self.arrivals.max(1) as f64,
            "p50_ms" => self.latency_ms[0],
            "p99_ms" => self.latency_ms[2],
            "recovered_s" => self.recovered_s?,
            "broken" => self.violation_count as f64,
            _ => return None,
        })
    }
}

/// The names that [`Report::figure`] knows.
pub const FIGURES: [&str; 26] = [
    "service",
    "service_after_prices",
    "whole",
    "worst_stretch",
    "worst_class",
    "worst_shop",
    "served",
    "refused",
    "failed",
    "wasted",
    "goodput",
    "probes_per_server",
    "probes_most",
    "handshakes_per_server",
    "handshakes_most",
    "connections_most",
    "connections_per_server",
    "held_per_server",
    "list_calls",
    "list_calls_peak",
    "crossing",
    "routed",
    "p50_ms",
    "p99_ms",
    "recovered_s",
    "broken",
];

fn ends(list: &[(RequestOutcome, u64)]) -> String {
    let word = |how: &RequestOutcome| format!("{how:?}").to_lowercase();
    let parts: Vec<String> = list
        .iter()
        .map(|(how, n)| format!("{} {n}", word(how)))
        .collect();
    parts.join(", ")
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            engine,
            seed,
            seconds,
            sidecars,
            servers,
            ..
        } = self;
        writeln!(
            f,
            "{name}: {engine}, seed {seed}, {seconds} s, {sidecars} sidecars, {servers} job servers"
        )?;
        if let Some(late) = &self.unreliable {
            writeln!(f, "NOT TO BE RELIED ON: {late}")?;
        }
        writeln!(
            f,
            "service {:.4} (whole {:.4}, worst 10 s {:.4}, worst class {:.4}, worst shop {:.4}); {:.4} after prices",
            self.service,
            self.overall,
            self.worst_window,
            self.worst_class,
            self.worst_tenant,
            self.service_after_prices
        )?;
        writeln!(
            f,
            "wishes {}, tries {}, transactions {}",
            self.arrivals, self.requests, self.accepted
        )?;
        writeln!(f, "answers: {}", ends(&self.responses))?;
        writeln!(
            f,
            "routed tasks {} ({} crossing zones), probes {}, handshakes {}, list calls {} (peak {} a second), work wasted {:.1} %",
            self.attempts,
            self.cross_zone_attempts,
            self.health_checks,
            self.handshakes,
            self.discovery_polls,
            self.discovery_polls_peak,
            100.0 * self.wasted_work
        )?;
        let ms = |q: &[f64; 5]| {
            format!(
                "{:.1} / {:.1} / {:.1} / {:.1} / {:.1}",
                q[0], q[1], q[2], q[3], q[4]
            )
        };
        writeln!(
            f,
            "latency in ms, 50 / 90 / 99 / 99.9 / 100 %: {}",
            ms(&self.latency_ms)
        )?;
        if let Some(took) = self.recovered_s {
            writeln!(
                f,
                "recovered {took:.1} s after the last restart of a sidecar"
            )?;
        }
        for class in &self.classes {
            let service = class.service.map_or("-".into(), |s| format!("{s:.4}"));
            writeln!(
                f,
                "  {:<14} service {service}; {}",
                class.name,
                ends(&class.ended)
            )?;
            writeln!(f, "  {:<14} {}", "", ms(&class.latency_ms))?;
        }
        for shop in &self.tenants {
            let service = shop.service.map_or("-".into(), |s| format!("{s:.4}"));
            writeln!(f, "  {:<20} service {service} within its share", shop.name)?;
        }
        let fell = self
            .servers_by_number
            .iter()
            .filter(|s| s.overloaded_cold)
            .count();
        if fell > 0 {
            writeln!(f, "{fell} job servers fell over")?;
        }
        self.remarks
            .iter()
            .try_for_each(|remark| writeln!(f, "{remark}"))?;
        self.counter_differences
            .iter()
            .try_for_each(|line| writeln!(f, "COUNTS DIFFER: {line}"))?;
        self.missed_expectations
            .iter()
            .try_for_each(|line| writeln!(f, "MISSED: {line}"))?;
        self.violations
            .iter()
            .try_for_each(|line| writeln!(f, "BROKEN: {line}"))?;
        let further = self
            .violation_count
            .saturating_sub(self.violations.len() as u64);
        if further > 0 {
            writeln!(f, "BROKEN: {further} more")?;
        }
        Ok(())
    }
}

/// Two reports side by side, with what changed.
pub fn compare(a: &Report, b: &Report) -> String {
    let mut text = String::new();
    let head = |r: &Report| format!("{} ({}, seed {})", r.name, r.engine, r.seed);
    let _ = writeln!(text, "A: {}\nB: {}\n", head(a), head(b));
    let _ = writeln!(text, "{:<26}{:>12}{:>12}{:>12}", "", "A", "B", "B - A");
    let mut row = |name: &str, a: Option<f64>, b: Option<f64>| {
        let cell = |v: Option<f64>| v.map_or("-".into(), |v| format!("{v:.4}"));
        let change = a
            .zip(b)
            .map_or("-".into(), |(a, b)| format!("{:+.4}", b - a));
        let _ = writeln!(text, "{name:<26}{:>12}{:>12}{change:>12}", cell(a), cell(b));
    };
    for name in FIGURES {
        row(name, a.figure(name), b.figure(name));
    }
    for class in &a.classes {
        let other = b.classes.iter().find(|c| c.name == class.name);
        row(&class.name, class.service, other.and_then(|c| c.service));
    }
    for (broken, name) in [(&a.violations, "A"), (&b.violations, "B")] {
        for line in broken {
            let _ = writeln!(text, "{name} BROKEN: {line}");
        }
    }
    text
}
