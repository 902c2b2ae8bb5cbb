//! Sections on who is there: network, machine types, servers and sidecars.
//!
//! Owns their keys and defaults. What follows from them for the whole fleet is in `capacity`, and
//! how a server behaves on its machine type in `server_model`.

use serde::{Deserialize, Serialize};

/// Zones, and delays of one way between two processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Names of the zones; at least one.
    pub zones: Vec<String>,
    /// Delay within a zone, in milliseconds.
    pub same_ms: f64,
    /// Delay between two zones, in milliseconds.
    pub cross_ms: f64,
    /// Delay between a client and its sidecar in the simulator, in milliseconds.
    pub client_ms: f64,
    /// Share by which a delay between sidecar and server is drawn longer, at most.
    pub jitter: f64,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            zones: vec!["fukuoka".into()],
            same_ms: 0.25,
            cross_ms: 4.0,
            client_ms: 0.1,
            jitter: 0.2,
        }
    }
}

/// A type of machine that servers run on, and how they behave on it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineType {
    /// Its name, by which `servers` refer to it.
    pub name: String,
    /// Number of cores; above zero.
    pub cores: u32,
    /// Requests that run at a time and share the cores; 0 for one a core.
    pub slots: u32,
    /// Share by which each request a core beyond `thrashing_threshold` slows all of them down.
    pub thrashing: f64,
    /// Requests a core from which on they slow each other down.
    pub thrashing_threshold: f64,
    /// Work done by one core in one second, in seconds of a standard core.
    pub speed: f64,
    /// Speeds are drawn within this share above and below `speed`.
    pub speed_spread: f64,
    /// Most requests that may wait; further ones are rejected.
    pub queue: usize,
    /// Share of its capacity that a cold server starts with; above zero.
    pub cold_capacity_share: f64,
    /// Seconds until a cold server is warm, at the latest.
    pub slow_start_s: f64,
    /// Number of served requests that warm a cold server as well; 0 where only time does.
    pub warm_requests: u64,
    /// Share of requests that end in an error, after their work.
    pub error_rate: f64,
    /// Most connections that a server has open; further ones are refused.
    pub connections: usize,
    /// Share of its capacity that a full connection table takes.
    pub connection_overhead: f64,
    /// Work of a new connection, in milliseconds of a standard core.
    pub handshake_ms: f64,
    /// Round trips before a new connection carries its first request.
    pub handshake_rtts: f64,
    /// Work of a health check, in milliseconds of a standard core.
    pub health_check_ms: f64,
    /// Health checks a second that it answers; 0 for no cap. Further ones are rejected.
    pub health_checks_per_s: f64,
    /// What the cancellation of an attempt stops.
    pub cancel: CancellationScope,
    /// Whether a waiting request is dropped once its sidecar no longer waits for it.
    pub drops_expired: bool,
    /// How lasting overload slows it; absent where it does not.
    pub contention: Option<Contention>,
}

impl Default for MachineType {
    fn default() -> Self {
        Self {
            name: "std".into(),
            cores: 2,
            slots: 0,
            thrashing: 0.0,
            thrashing_threshold: 4.0,
            speed: 1.0,
            speed_spread: 0.1,
            queue: 800,
            cold_capacity_share: 0.2,
            slow_start_s: 18.0,
            warm_requests: 0,
            error_rate: 0.001,
            connections: 1_500,
            connection_overhead: 0.3,
            handshake_ms: 3.0,
            handshake_rtts: 2.5,
            health_check_ms: 0.12,
            health_checks_per_s: 0.0,
            cancel: CancellationScope::Queued,
            drops_expired: true,
            contention: None,
        }
    }
}

/// What the cancellation of an attempt stops at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CancellationScope {
    /// Nothing.
    None,
    /// Requests that wait.
    Queued,
    /// Requests that run as well.
    All,
}

/// Overload that lasts: once a server has more than `overload_threshold` requests a core in
/// flight for `overload_s`, it is slowed until it has less than `recovery_threshold` a core for
/// `recovery_s`, or until `max_s` have passed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Contention {
    /// Requests a core beyond which it is overloaded.
    pub overload_threshold: f64,
    /// Seconds of overload after which it is slowed.
    pub overload_s: f64,
    /// Factor by which it is slower; 1 or more.
    pub slowdown: f64,
    /// Requests a core below which it recovers.
    pub recovery_threshold: f64,
    /// Seconds that it takes to recover.
    pub recovery_s: f64,
    /// Seconds after which it has recovered in any case.
    pub max_s: f64,
}

impl Default for Contention {
    fn default() -> Self {
        Self {
            overload_threshold: 5.5,
            overload_s: 2.0,
            slowdown: 2.6,
            recovery_threshold: 0.35,
            recovery_s: 3.0,
            max_s: 22.0,
        }
    }
}

/// A group of servers of one machine type.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerGroup {
    /// Name of their machine type.
    pub machine_type: String,
    /// How many there are.
    pub count: usize,
    /// Their zone; spread over all zones where it is absent.
    pub zone: Option<String>,
    /// Whether they are cold at the start of the run.
    pub cold: bool,
}

impl Default for ServerGroup {
    fn default() -> Self {
        Self {
            machine_type: "std".into(),
            count: 1,
            zone: None,
            cold: false,
        }
    }
}

/// The sidecars, spread over the zones.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sidecars {
    /// How many there are; above zero.
    pub count: usize,
    /// How unevenly traffic is spread over them: coefficient of variation of their shares.
    pub skew: f64,
    /// Whether they know cores and speed of each machine type, as by an operator's table.
    pub knows_machine_types: bool,
    /// Memory that each may use in the emulator, in megabytes.
    pub memory_mb: u64,
    /// Most sockets that each may open in the emulator.
    pub sockets: u64,
}

impl Default for Sidecars {
    fn default() -> Self {
        Self {
            count: 3,
            skew: 0.0,
            knows_machine_types: false,
            memory_mb: 192,
            sockets: 1_024,
        }
    }
}
