//! Sections of the fleet: network, machine types, servers and sidecars.
//!
//! Figures of the whole fleet are derived in `capacity`; the behaviour of a server on its machine
//! type is in `server_model`.

use serde::{Deserialize, Serialize};

/// Zones, and one-way delays of messages between processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Names of the zones; at least one.
    pub zones: Vec<String>,
    /// One-way delay between a sidecar and a server of the same zone, in milliseconds.
    pub same_ms: f64,
    /// One-way delay between a sidecar and a server of another zone, in milliseconds.
    pub cross_ms: f64,
    /// One-way delay between a client and its sidecar in the simulator, in milliseconds.
    pub client_ms: f64,
    /// Maximum random increase of a delay between sidecar and server, as a share of the delay.
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

/// A machine type and the behaviour of servers on it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineType {
    /// Name, referred to by `servers`.
    pub name: String,
    /// Number of cores; above zero.
    pub cores: u32,
    /// Number of requests that run at the same time and share the cores; 0 for one per core.
    pub slots: u32,
    /// Slowdown of all running requests for each request per core above `thrashing_threshold`.
    pub thrashing: f64,
    /// Requests per core above which they slow each other down.
    pub thrashing_threshold: f64,
    /// Work done by one core per second, in seconds of a standard core.
    pub speed: f64,
    /// Maximum random deviation from `speed`, as a share of it.
    pub speed_spread: f64,
    /// Maximum number of queued requests; further ones are rejected.
    pub queue: usize,
    /// Initial capacity of a cold server as a share of its full capacity; above zero.
    pub cold_capacity_share: f64,
    /// Maximum duration of the slow start of a cold server, in seconds.
    pub slow_start_s: f64,
    /// Number of served requests after which a cold server is warm; 0 if only time warms it.
    pub warm_requests: u64,
    /// Share of requests that fail after their work is done.
    pub error_rate: f64,
    /// Maximum number of open connections; further ones are refused.
    pub connections: usize,
    /// Share of a server's capacity that is lost when its connection table is full.
    pub connection_overhead: f64,
    /// Work of a new connection, in milliseconds of a standard core.
    pub handshake_ms: f64,
    /// Number of round trips before a new connection carries its first request.
    pub handshake_rtts: f64,
    /// Work of a health check, in milliseconds of a standard core.
    pub health_check_ms: f64,
    /// Maximum health checks per second; further ones are rejected. 0 for no limit.
    pub health_checks_per_s: f64,
    /// What the cancellation of an attempt stops.
    pub cancel: CancellationScope,
    /// Whether a queued request is dropped once its sidecar no longer waits for the response.
    pub drops_expired: bool,
    /// Slowdown by sustained overload; absent if there is none.
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
    /// Queued requests.
    Queued,
    /// Queued and running requests.
    All,
}

/// Sustained overload: a server with more than `overload_threshold` requests in flight per core for
/// `overload_s` is slowed until it has had fewer than `recovery_threshold` per core for
/// `recovery_s`, or until `max_s` have passed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Contention {
    /// Requests per core above which a server is overloaded.
    pub overload_threshold: f64,
    /// Duration of overload after which it is slowed, in seconds.
    pub overload_s: f64,
    /// Factor by which it is slowed; at least 1.
    pub slowdown: f64,
    /// Requests per core below which it recovers.
    pub recovery_threshold: f64,
    /// Duration of the recovery, in seconds.
    pub recovery_s: f64,
    /// Maximum duration of the slowdown, in seconds.
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
    /// Number of servers.
    pub count: usize,
    /// Their zone; if absent, they are spread over all zones.
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

/// The sidecars, which are spread over the zones.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sidecars {
    /// Number of sidecars; above zero.
    pub count: usize,
    /// Coefficient of variation of their shares of the traffic; 0 for equal shares.
    pub skew: f64,
    /// Whether they know the cores and speed of each machine type, as from a table that operators
    /// provide.
    pub knows_machine_types: bool,
    /// Memory limit of each in the emulator, in megabytes.
    pub memory_mb: u64,
    /// Maximum number of open sockets of each in the emulator.
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
