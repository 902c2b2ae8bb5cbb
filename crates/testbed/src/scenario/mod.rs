//! What a scenario file says: the fleet, the load, the timetable of troubles, and what must hold.
//!
//! Owns the types and their defaults. Reading is `read.rs`, the checks that one key alone cannot show are
//! `check.rs`. Every key is described, with unit and default, in `docs/scenario.md`.

mod check;
mod error;
mod key_path;
mod read;
mod renamed_keys;
mod set_key;
mod source_lines;

use serde::{Deserialize, Serialize};

pub use error::{ScenarioError, ScenarioErrors};
pub use read::ScenarioFile;

/// Microseconds on the lab's clock.
pub type Micros = u64;

/// Milliseconds of a file in whole microseconds.
pub fn from_ms(ms: f64) -> Micros {
    (ms * 1_000.0).round().max(0.0) as Micros
}

/// Seconds of a file in whole microseconds.
pub fn from_s(s: f64) -> Micros {
    (s * 1e6).round().max(0.0) as Micros
}

macro_rules! section {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $kind:ty = $default:expr,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Serialize, Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct $name { $($(#[$field_doc])* pub $field: $kind,)* }

        impl Default for $name {
            fn default() -> Self { Self { $($field: $default,)* } }
        }
    };
}

section! {
    /// A whole day.
    Scenario {
        /// Name in reports.
        name: String = "day".into(),
        /// Length of the arrivals, in seconds; what is open at their end is played to its end.
        seconds: f64 = 60.0,
        /// Seed of every stream of chance.
        seed: u64 = 1,
        network: Network = Network::default(),
        machine_type: Vec<MachineType> = Vec::new(),
        servers: Vec<Servers> = Vec::new(),
        sidecars: Sidecars = Sidecars::default(),
        class: Vec<Class> = Vec::new(),
        tenant: Vec<Tenant> = Vec::new(),
        load: Load = Load::default(),
        clients: Clients = Clients::default(),
        discovery: Discovery = Discovery::default(),
        permissions: Permissions = Permissions::default(),
        load_reports: Reports = Reports::default(),
        rules: Rules = Rules::default(),
        prices: Prices = Prices::default(),
        fault: Vec<Fault> = Vec::new(),
        expect: Expect = Expect::default(),
    }
}

section! {
    /// Zones and one-way delays in milliseconds.
    Network {
        zones: Vec<String> = vec!["fukuoka".into()],
        same_ms: f64 = 0.25,
        cross_ms: f64 = 4.0,
        /// Between a terminal and its sidecar.
        client_ms: f64 = 0.1,
        /// A delay is drawn up to this share longer.
        jitter: f64 = 0.2,
    }
}

section! {
    /// A kind of job server.
    MachineType {
        name: String = "std".into(),
        cores: u32 = 2,
        /// Requests that run at a time and share the cores; 0 for one a core.
        slots: u32 = 0,
        /// Share by which each request a core beyond `thrash_at` slows all down.
        thrash: f64 = 0.0,
        thrash_at: f64 = 4.0,
        /// Work done by one core in one second, in seconds of a standard core.
        speed: f64 = 1.0,
        /// Speeds are drawn within this share above and below.
        speed_spread: f64 = 0.1,
        /// Requests that may wait.
        queue: usize = 800,
        /// Share of its capacity that it starts with.
        cold_capacity_share: f64 = 0.2,
        /// Time until it is warm, at the latest.
        slow_start_s: f64 = 18.0,
        /// Served requests that warm it as well; 0 where only time does.
        warm_requests: u64 = 0,
        /// Share of requests that end in an error, after their work.
        error_rate: f64 = 0.001,
        /// Connections it accepts.
        connections: usize = 1_500,
        /// Capacity that a full connection table takes.
        full_tax: f64 = 0.3,
        /// Work of a new connection, in milliseconds of a standard core.
        handshake_ms: f64 = 3.0,
        /// Round trips before a new connection carries its first request.
        handshake_rtts: f64 = 2.5,
        /// Work of a probe.
        health_check_ms: f64 = 0.12,
        /// Probes a second that it answers; 0 for no cap. Further ones get a short-on-capacity reply.
        health_checks_per_s: f64 = 0.0,
        /// Whether calling off a routed task also stops one that runs.
        cancel: Cancel = Cancel::Queued,
        /// A waiting request whose sidecar no longer waits is not started.
        drops_expired: bool = true,
        /// What too many requests do to it.
        choke: Option<Choke> = None,
    }
}

/// What a called-off routed task stops at a job server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cancel {
    /// Nothing.
    None,
    /// Waiting work.
    Queued,
    /// Running work too.
    All,
}

section! {
    /// Overload that lasts: beyond `at` requests a core for `over_s` the server is `slower` times slower, until
    /// it holds less than `below` a core for `rest_s`, or for `most_s`.
    Choke {
        at: f64 = 5.5,
        over_s: f64 = 2.0,
        slower: f64 = 2.6,
        below: f64 = 0.35,
        rest_s: f64 = 3.0,
        most_s: f64 = 22.0,
    }
}

section! {
    /// So many job servers of a kind.
    Servers {
        machine_type: String = "std".into(),
        count: usize = 1,
        /// Their zone; spread over all where it is absent.
        zone: Option<String> = None,
        /// They start cold with the day.
        cold: bool = false,
    }
}

section! {
    /// The sidecars, spread over the zones.
    Sidecars {
        count: usize = 3,
        /// How unevenly traffic falls on them: coefficient of variation of their parts.
        skew: f64 = 0.0,
        /// They are told what each kind of job server can do, as by an operator's table.
        knows_machine_types: bool = false,
        memory_mb: u64 = 192,
        sockets: u64 = 1_024,
    }
}

/// May a request run more than once?
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Must never run twice.
    Unsafe,
    /// Carries a key by which job servers of a group drop repeats for a while.
    Keyed,
}

/// Among which job servers repeats of a key are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeduplicationGroup {
    All,
    Zone,
}

/// How work is spread around its mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkDistribution {
    Fixed,
    Exp,
    Lognormal,
}

section! {
    /// A class of requests.
    Class {
        name: String = "job-status".into(),
        share: f64 = 1.0,
        /// Mean work, in milliseconds of a standard core.
        work_ms: f64 = 40.0,
        dist: WorkDistribution = WorkDistribution::Lognormal,
        /// Coefficient of variation, for `lognormal`.
        cv: f64 = 1.0,
        /// How far the work of two attempts differs: standard deviation of its logarithm.
        noise: f64 = 0.0,
        latency_objective_ms: f64 = 400.0,
        deadline_ms: f64 = 1_500.0,
        priority_weight: f64 = 1.0,
        /// Share of the worth that an answer after the aim and before the deadline keeps.
        late_value: f64 = 0.0,
        idempotency: Effect = Effect::Safe,
        deduplication_scope: DeduplicationGroup = DeduplicationGroup::All,
        deduplication_window_ms: f64 = 10_000.0,
    }
}

section! {
    /// A shop and its part.
    Tenant {
        name: String = "shop".into(),
        /// Share of the service that it is entitled to.
        share: f64 = 1.0,
        /// Its traffic, as a multiple of its share.
        usage: f64 = 1.0,
    }
}

/// How the load runs through the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadShape {
    Steady,
    /// From a half to one and a half times the mean.
    Ramp,
    /// A wave around the mean.
    Swing,
    /// Wanders between `low` and `high` of capacity.
    Brim,
}

section! {
    /// How much is asked for.
    Load {
        /// Requests a second; where 0, `of_capacity` counts.
        rate: f64 = 0.0,
        /// Share of what the warm fleet can do.
        of_capacity: f64 = 0.5,
        shape: LoadShape = LoadShape::Steady,
        /// Height of the swing, as a share of the mean.
        swing: f64 = 0.25,
        /// Length of one wave.
        period_s: f64 = 30.0,
        low: f64 = 0.9,
        high: f64 = 1.05,
        /// Terminals tell the work of a request, off by a factor whose logarithm has this standard deviation.
        work_hints: Option<f64> = None,
        /// Worth is counted for each unit of work: a class's worth is that of its mean work.
        weight_by_work: bool = false,
        /// Open transactions at which further arrivals are not played but counted as choked off.
        max_open_requests: usize = 200_000,
    }
}

section! {
    /// What terminals do with an answer they don't like.
    Clients {
        /// Most tries after the first.
        retries: u32 = 1,
        /// A try is given up after a share of the deadline between these.
        timeout_share: [f64; 2] = [0.7, 1.0],
        backoff_ms: [f64; 2] = [20.0, 160.0],
        /// Share that keeps to the pause of a refusal.
        honour_retry_after: f64 = 0.25,
        /// Share that leaves early, at a random moment.
        disconnect_share: f64 = 0.0,
    }
}

section! {
    /// The service that lists job servers.
    Discovery {
        /// From a drain, crash or planned end to its place in the list.
        notice_ms: f64 = 1_500.0,
        /// The same for a machine that falls silent.
        silent_notice_ms: f64 = 9_000.0,
        /// From a start to its place in the list.
        add_ms: f64 = 1_200.0,
        /// Until a change has reached a watch.
        spread_ms: f64 = 300.0,
        /// Calls a second.
        capacity: f64 = 4.0,
        /// A call that waits longer fails.
        timeout_ms: f64 = 3_000.0,
    }
}

section! {
    /// What the site lets sidecars do.
    Permissions {
        health_checks: bool = true,
        cancellation: bool = true,
        hedging: bool = true,
        max_attempts: u32 = 5,
        idle_timeout_s: f64 = 5.0,
        connect_timeout_ms: f64 = 200.0,
        health_check_timeout_ms: f64 = 250.0,
        max_retry_after_ms: f64 = 2_000.0,
        max_poll_interval_ms: f64 = 10_000.0,
    }
}

/// Where job servers tell of their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportSource {
    /// In the answers to probes, as of now.
    Probe,
    /// In every answer, what they hold and nothing else.
    Answers,
}

section! {
    /// How job servers tell of their load in answers.
    Reports {
        source: ReportSource = ReportSource::Probe,
        /// What is told is taken this often.
        every_ms: f64 = 300.0,
        /// And told from this long after that.
        delay_ms: f64 = 80.0,
    }
}

section! {
    /// The figures of the four rules.
    Rules {
        drain_grace_ms: f64 = 2_000.0,
        cold_overload_factor: f64 = 2.5,
        cold_overload_window_ms: f64 = 1_500.0,
        /// Time after the deadline in which an answer still counts.
        response_grace_ms: f64 = 20.0,
        /// Sockets' allowance on every time limit.
        emulator_extra_ms: f64 = 50.0,
        /// Worth of a request beyond its shop's share.
        over_share_weight: f64 = 0.2,
        /// What shops are entitled to together, as a share of capacity.
        quota_of_capacity: f64 = 0.9,
    }
}

section! {
    /// Points of service for what is spent, as fractions.
    Prices {
        cross_zone: f64 = 0.015,
        waste: f64 = 0.022,
        health_check: f64 = 0.0021,
        handshake: f64 = 0.0,
        late_fail: f64 = 0.05,
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process stands still; its machine and connections stay.
    Pause,
    /// The machine vanishes without a reset, and comes back cold.
    Silence,
    /// `times` slower.
    Slow,
    /// The process ends with resets, and comes back cold.
    Crash,
    /// Told to drain, then gone; back cold where `for_s` ends before the day.
    Drain,
    /// A new machine with a new name at the same address.
    Replace,
    /// `times` the usual load.
    Burst,
    /// A share of one class needs `times` its work.
    Costly,
    /// A share of the answers is noise.
    Spoilt,
    /// A share of the connections is reset amid a request.
    Resets,
    /// A share of the requests fails.
    Errors,
    /// Part of the sidecars is restarted one batch after the other.
    Roll,
    /// All sidecars are restarted together.
    RestartAll,
    /// Discovery ends its watches and refuses calls.
    DiscoveryDown,
    /// Discovery says nothing more and holds its connections.
    DiscoverySilent,
}

section! {
    /// One line of the timetable.
    Fault {
        kind: FaultKind = FaultKind::Pause,
        at_s: f64 = 0.0,
        for_s: f64 = 10.0,
        /// Job servers by name (`s0`, `s1` ...).
        servers: Vec<String> = Vec::new(),
        /// Else this part of them, drawn.
        part: f64 = 0.0,
        /// Only those of this zone.
        zone: Option<String> = None,
        /// How many times slower or dearer.
        factor: f64 = 4.0,
        /// Share of requests concerned.
        share: f64 = 1.0,
        /// Class concerned.
        class: Option<String> = None,
        /// Part of the sidecars that goes down at a time.
        batch: f64 = 0.25,
        /// How long a sidecar is down.
        down_s: f64 = 1.0,
        /// Killed outright; else ended with SIGTERM.
        kill: bool = true,
    }
}

section! {
    /// What must hold, besides the rules, for exit code 0.
    Expect {
        /// Service as weighed, at least.
        service: Option<f64> = None,
        /// Served share of transactions, at least.
        served: Option<f64> = None,
        /// Longest time from the last restart of sidecars to 0.95 of the service before, in seconds.
        recovered_s: Option<f64> = None,
    }
}

impl Scenario {
    /// All job servers by kind, in the order of their names.
    pub fn fleet(&self) -> Vec<(&MachineType, &Servers)> {
        let kind = |group: &Servers| {
            self.machine_type
                .iter()
                .find(|k| k.name == group.machine_type)
        };
        let one = |group: &'_ Servers| kind(group).map(|k| (k, group.count));
        self.servers
            .iter()
            .filter_map(|group| one(group).map(|(k, count)| std::iter::repeat_n((k, group), count)))
            .flatten()
            .collect()
    }

    /// What a sidecar is told of a kind of job server: its number, and its size where the day says so.
    pub fn told_machine(&self, kind: &MachineType) -> arrowstand_balancer::MachineType {
        let number = self
            .machine_type
            .iter()
            .position(|k| k.name == kind.name)
            .map_or(0, |n| n as u32 + 1);
        match self.sidecars.knows_machine_types {
            true => arrowstand_balancer::MachineType {
                id: number,
                cores: f64::from(kind.cores),
                speed: kind.speed,
            },
            false => arrowstand_balancer::MachineType::default(),
        }
    }

    /// Work the warm fleet does in a second, in seconds of a standard core.
    pub fn capacity(&self) -> f64 {
        self.fleet()
            .iter()
            .map(|(kind, _)| f64::from(kind.cores) * kind.speed)
            .sum()
    }

    /// Mean work of a request in seconds.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.class.iter().map(|c| c.share).sum();
        self.class
            .iter()
            .map(|c| c.share * c.work_ms / 1_000.0)
            .sum::<f64>()
            / shares.max(f64::MIN_POSITIVE)
    }

    /// Requests a second, on the mean of the day.
    pub fn rate(&self) -> f64 {
        if self.load.rate > 0.0 {
            self.load.rate
        } else {
            self.load.of_capacity * self.full_rate()
        }
    }

    /// Requests a second that the warm fleet can do.
    pub fn full_rate(&self) -> f64 {
        self.capacity() / self.mean_work().max(f64::MIN_POSITIVE)
    }

    /// Requests a second at a moment; `wander` lies between 0 and 1 and serves the brim.
    pub fn rate_at(&self, at: Micros, wander: f64) -> f64 {
        let t = at as f64 / 1e6;
        let burst = |t: &&Fault| t.kind == FaultKind::Burst && t.is_on(at);
        let burst: f64 = self.fault.iter().filter(burst).map(|t| t.factor).product();
        let mean = self.rate() * burst;
        match self.load.shape {
            LoadShape::Steady => mean,
            LoadShape::Ramp => mean * (0.5 + (t / self.seconds).min(1.0)),
            LoadShape::Swing => {
                let wave = (t / self.load.period_s * std::f64::consts::TAU).sin();
                mean * (1.0 + self.load.swing * wave)
            }
            LoadShape::Brim => {
                burst
                    * self.full_rate()
                    * (self.load.low + (self.load.high - self.load.low) * wander.clamp(0.0, 1.0))
            }
        }
    }

    /// Zone of the job server of that number, which belongs to a group.
    pub fn server_zone(&self, group: &Servers, number: usize) -> u32 {
        let named = group
            .zone
            .as_ref()
            .and_then(|z| self.network.zones.iter().position(|n| n == z));
        named.map_or(self.spread_zone(number), |z| z as u32)
    }

    /// Zone of the job server or sidecar of that number where it is not named: spread in turn.
    pub fn spread_zone(&self, number: usize) -> u32 {
        (number % self.network.zones.len().max(1)) as u32
    }
}
