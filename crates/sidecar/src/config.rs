//! The one reader of the environment and of the configuration file: checks, defaults and messages.

use std::net::SocketAddr;
use std::time::Duration;

use arrowstand_balancer::{DeduplicationScope, Idempotency, Micros, RequestClass, Settings};
use arrowstand_control::MachineCatalogue;

use crate::discovery::EndpointList;
use crate::json::{self, Node};
use crate::limits::{Basis, Limits};
use crate::machine_table;

/// What this sidecar was told at start.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub settings: Settings,
    pub limits: Limits,
    pub names: Names,
    /// The list of endpoints as this sidecar last had it.
    pub known: Option<EndpointList>,
}

/// Names that the module knows by number, and where in a load report its values stand.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub classes: Vec<String>,
    /// Whether the class of that place carries a key.
    pub keyed: Vec<bool>,
    /// How long a terminal of that class waits that does not say so.
    pub deadlines: Vec<Duration>,
    /// How long repeats of that class are dropped.
    pub windows: Vec<Duration>,
    pub zones: Vec<String>,
    /// What the kinds of machine can do.
    pub machines: MachineCatalogue,
}

fn micros(ms: f64) -> Micros {
    (ms * 1_000.0).round() as Micros
}

fn span(ms: f64) -> Duration {
    Duration::from_micros(micros(ms))
}

fn address(node: &Node, variable: Option<String>, name: &str) -> Result<SocketAddr, String> {
    if let Some(text) = variable {
        return text
            .parse()
            .map_err(|_| format!("{name}: {text:?} is not an address and port"));
    }
    let text = node.text()?;
    text.parse()
        .or_else(|_| node.fault(&format!("{text:?} is not an address and port")))
}

fn set(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

impl Config {
    /// Reads `NODE_CONFIG` and the variables, which win over the file.
    pub fn from_environment() -> Result<Self, String> {
        Self::from(set)
    }

    /// Reads the file anew. The service that started this program set the variables once and cannot change
    /// them, so the new file's own `discovery` counts.
    pub fn reload() -> Result<Self, String> {
        Self::from(|name| {
            if name == "NODE_DISCOVERY" {
                None
            } else {
                set(name)
            }
        })
    }

    fn from(variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path =
            variable("NODE_CONFIG").ok_or("NODE_CONFIG: is not set; it names the JSON file")?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
        Self::read(&text, variable)
    }

    /// Checks the text of a configuration; `variable` looks up the environment.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let value = json::parse(text, 64).map_err(|e| format!("NODE_CONFIG: not JSON: {e}"))?;
        let root = Node::root(&value);
        let name = match variable("NODE_NAME") {
            Some(name) => name,
            None => root.at("name").text()?,
        };
        let seed_node = root.at("seed");
        let seed_text = seed_node.text()?;
        let seed = u64::from_str_radix(&seed_text, 16)
            .or_else(|_| seed_node.fault("must be hex digits"))?;
        let conf = root.at("settings");
        if !conf.present() {
            return conf.fault("is missing");
        }
        let (settings, mut names) = settings(&conf)?;
        if let Some(path) = variable("ARROWSTAND_MACHINES") {
            names.machines = machine_table::load(&path)?;
        }
        let own = root.at("limits");
        let permissions = conf.at("permissions");
        let ms = |node: Node, default: f64| node.number_opt().map(|n| span(n.unwrap_or(default)));
        let basis = Basis {
            sockets: own.at("sockets").number_opt()?.unwrap_or(1_024.0) as usize,
            memory_mb: own.at("memory_mb").number_opt()?.unwrap_or(192.0) as usize,
            connect: ms(permissions.at("connect-timeout-ms"), 200.0)?,
            idle_close: ms(permissions.at("idle-close-ms"), 5_000.0)?,
            drain_grace: ms(conf.at("safety").at("drain-grace-ms"), 2_000.0)?,
            retry_after: Duration::from_micros(settings.max_retry_after),
            attempts: settings.max_attempts as usize,
            deadline: Duration::from_micros(
                settings
                    .classes
                    .iter()
                    .map(|c| c.deadline)
                    .max()
                    .unwrap_or(0),
            ),
            step: Duration::from_micros(settings.step),
            ask_every: Duration::from_micros(settings.max_poll_interval),
            pushed: conf.at("membership-mode").text_opt()?.as_deref() == Some("pushed"),
        };
        if basis.sockets < 64 {
            return own.at("sockets").fault("must be 64 or more");
        }
        if basis.connect.is_zero() {
            return permissions
                .at("connect-timeout-ms")
                .fault("must be above zero");
        }
        if basis.idle_close.is_zero() {
            return permissions.at("idle-close-ms").fault("must be above zero");
        }
        let known = root.at("known");
        let known = if known.present() {
            Some(EndpointList::read(&known)?)
        } else {
            None
        };
        Ok(Self {
            name,
            listen: address(&root.at("listen"), variable("NODE_LISTEN"), "NODE_LISTEN")?,
            discovery: address(
                &root.at("discovery"),
                variable("NODE_DISCOVERY"),
                "NODE_DISCOVERY",
            )?,
            seed,
            settings,
            limits: Limits::derive(&basis),
            names,
            known,
        })
    }
}

fn class(node: &Node) -> Result<RequestClass, String> {
    let semantics = match node.at("semantics").text()?.as_str() {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::IdempotencyKey,
        "side_effect" => Idempotency::NonIdempotent,
        other => {
            return node
                .at("semantics")
                .fault(&format!("unknown value {other:?}"));
        }
    };
    let scope = match node.at("dedup-scope").text_opt()?.as_deref() {
        None | Some("all") => DeduplicationScope::All,
        Some("zone") => DeduplicationScope::Zone,
        Some("cell") => DeduplicationScope::Cell,
        Some(other) => {
            return node
                .at("dedup-scope")
                .fault(&format!("unknown value {other:?}"));
        }
    };
    let or = |key: &str, default: f64| node.at(key).number_opt().map(|n| n.unwrap_or(default));
    Ok(RequestClass {
        priority_weight: or("importance", 1.0)?,
        late_value: or("late-value", 0.0)?,
        objective_per_work: or("aim-stretch", 0.0)?,
        deduplication_scope: scope,
        deduplication_window: micros(or("window-ms", 0.0)?),
        // Whole answers are passed on: a stream's start is not told to the module.
        streamed: false,
        ..RequestClass::new(
            semantics,
            micros(node.at("objective-ms").number()?),
            micros(node.at("deadline-ms").number()?),
        )
    })
}

fn settings(conf: &Node) -> Result<(Settings, Names), String> {
    let mut names = Names::default();
    let mut classes = Vec::new();
    for node in conf.at("request-classes").items()? {
        classes.push(class(&node)?);
        names.classes.push(node.at("name").text()?);
        names.deadlines.push(
            classes
                .last()
                .map_or(Duration::ZERO, |c| Duration::from_micros(c.deadline)),
        );
        names
            .windows
            .push(classes.last().map_or(Duration::ZERO, |c| {
                Duration::from_micros(c.deduplication_window)
            }));
        names.keyed.push(
            classes
                .last()
                .is_some_and(|c| c.idempotency == Idempotency::IdempotencyKey),
        );
    }
    for zone in conf.at("zones").items()? {
        names.zones.push(zone.text()?);
    }
    let az = conf.at("az").text_opt()?;
    let zone = names.zones.iter().position(|z| Some(z) == az.as_ref());
    let (permissions, safety, fees) = (conf.at("permissions"), conf.at("safety"), conf.at("fees"));
    let report = conf.at("report");
    let mut held = false;
    for field in report.at("fields").items()? {
        held |= field.text()? == "active";
    }
    let source = report.at("source").text_opt()?;
    let reports = held && source.as_deref() != Some("none");
    let base = Settings::default();
    let flag = |node: Node| node.flag_opt().map(|f| f.unwrap_or(false));
    let number = |node: Node, default: f64| node.number_opt().map(|n| n.unwrap_or(default));
    let time = |node: Node, default: Micros| node.number_opt().map(|n| n.map_or(default, micros));
    let settings = Settings {
        classes,
        zone: zone.map_or(u32::MAX, |z| z as u32),
        balancer_index: number(conf.at("my-number"), 0.0)? as u32,
        balancer_count: number(conf.at("balancers"), 1.0)? as u32,
        step: time(conf.at("step-ms"), base.step)?,
        cancellation: flag(permissions.at("cancel"))?,
        health_checks: flag(permissions.at("probes"))?,
        // Sidecars do not talk to each other: there is no such channel in this program.
        gossip: false,
        hedging: flag(permissions.at("may-duplicate"))?,
        // `permissions.retry-after` tells whether the simulator hands its clients the pause of a refusal.
        // On sockets the header is part of the answer whoever reads it, and it is what keeps a client from
        // coming back at once, so the module is always asked for the pause; see the README.
        retry_after: true,
        max_retry_after: time(permissions.at("max-retry-after-ms"), base.max_retry_after)?,
        max_attempts: number(permissions.at("max-attempts"), f64::from(base.max_attempts))? as u32,
        health_check_fee: number(fees.at("probe"), 0.0)?,
        handshake_fee: number(fees.at("handshake"), 0.0)?,
        idle_timeout: time(permissions.at("idle-close-ms"), base.idle_timeout)?,
        connection_fee: number(fees.at("connection"), 0.0)?,
        cross_zone_fee: number(fees.at("cross-zone"), 0.0)?,
        load_reports: reports,
        load_reports_in_responses: source.as_deref() == Some("answers"),
        weight_by_work: conf.at("worth-by").text_opt()?.as_deref() == Some("work"),
        // On sockets discovery answers only when asked, whatever the simulator does for this deployment.
        poll_endpoints: true,
        max_poll_interval: time(safety.at("ask-every-ms"), base.max_poll_interval)?,
        only_draining_binds: flag(safety.at("only-draining-binds"))?,
        cold_capacity_share: number(safety.at("cold-from"), base.cold_capacity_share)?,
        slow_start_time: time(safety.at("cold-ms"), base.slow_start_time)?,
        cold_overload_factor: number(safety.at("overload-factor"), base.cold_overload_factor)?,
        cold_overload_window: time(safety.at("fall-ms"), base.cold_overload_window)?,
    };
    settings.validate().map_err(|e| format!("settings: {e}"))?;
    Ok((settings, names))
}

#[cfg(test)]
mod tests;
