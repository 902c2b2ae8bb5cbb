//! Sections on who is there: network, machine types, servers and sidecars.

use super::section::{choice, section};

section! {
    /// Zones, and delays of one way between two processes.
    Network {
        /// Names of the zones; at least one.
        zones: Vec<String> = vec!["fukuoka".into()],
        /// Delay within a zone, in milliseconds.
        same_ms: f64 = 0.25,
        /// Delay between two zones, in milliseconds.
        cross_ms: f64 = 4.0,
        /// Delay between a client and its sidecar, in milliseconds.
        client_ms: f64 = 0.1,
        /// A delay is drawn up to this share longer.
        jitter: f64 = 0.2,
    }
}

section! {
    /// A type of machine that servers run on, and how they behave on it.
    MachineType {
        /// Its name, by which `servers` refer to it.
        name: String = "std".into(),
        /// Cores; above zero.
        cores: u32 = 2,
        /// Requests that run at a time and share the cores; 0 for one a core.
        slots: u32 = 0,
        /// Share by which each request a core beyond `thrashing_threshold` slows all of them down.
        thrashing: f64 = 0.0,
        /// Requests a core from which on they slow each other down.
        thrashing_threshold: f64 = 4.0,
        /// Work done by one core in one second, in seconds of a standard core.
        speed: f64 = 1.0,
        /// Speeds are drawn within this share above and below `speed`.
        speed_spread: f64 = 0.1,
        /// Requests that may wait.
        queue: usize = 800,
        /// Share of its capacity that a cold server starts with.
        cold_capacity_share: f64 = 0.2,
        /// Seconds until a cold server is warm, at the latest.
        slow_start_s: f64 = 18.0,
        /// Served requests that warm a cold server as well; 0 where only time does.
        warm_requests: u64 = 0,
        /// Share of requests that end in an error, after their work.
        error_rate: f64 = 0.001,
        /// Connections it accepts.
        connections: usize = 1_500,
        /// Share of its capacity that a full connection table takes.
        connection_overhead: f64 = 0.3,
        /// Work of a new connection, in milliseconds of a standard core.
        handshake_ms: f64 = 3.0,
        /// Round trips before a new connection carries its first request.
        handshake_rtts: f64 = 2.5,
        /// Work of a health check, in milliseconds of a standard core.
        health_check_ms: f64 = 0.12,
        /// Health checks a second that it answers; 0 for no cap. Further ones are rejected.
        health_checks_per_s: f64 = 0.0,
        /// What the cancellation of an attempt stops.
        cancel: CancellationScope = CancellationScope::Queued,
        /// Whether a waiting request is dropped once its sidecar no longer waits for it.
        drops_expired: bool = true,
        /// How lasting overload slows it; absent where it does not.
        contention: Option<Contention> = None,
    }
}

choice! {
    /// What the cancellation of an attempt stops at a server.
    CancellationScope {
        /// Nothing.
        None,
        /// Requests that wait.
        Queued,
        /// Requests that run as well.
        All,
    }
}

section! {
    /// Overload that lasts: once a server has more than `overload_threshold` requests a core in
    /// flight for `overload_s`, it is slowed until it has less than `recovery_threshold` a core for
    /// `recovery_s`, or until `max_s` have passed.
    Contention {
        /// Requests a core beyond which it is overloaded.
        overload_threshold: f64 = 5.5,
        /// Seconds of overload after which it is slowed.
        overload_s: f64 = 2.0,
        /// Factor by which it is slower; 1 or more.
        slowdown: f64 = 2.6,
        /// Requests a core below which it recovers.
        recovery_threshold: f64 = 0.35,
        /// Seconds that it takes to recover.
        recovery_s: f64 = 3.0,
        /// Seconds after which it has recovered in any case.
        max_s: f64 = 22.0,
    }
}

section! {
    /// A group of servers of one machine type.
    Servers {
        /// Name of their machine type.
        machine_type: String = "std".into(),
        /// How many there are.
        count: usize = 1,
        /// Their zone; spread over all zones where it is absent.
        zone: Option<String> = None,
        /// Whether they are cold at the start.
        cold: bool = false,
    }
}

section! {
    /// The sidecars, spread over the zones.
    Sidecars {
        /// How many there are.
        count: usize = 3,
        /// How unevenly traffic is spread over them: coefficient of variation of their shares.
        skew: f64 = 0.0,
        /// Whether they know cores and speed of each machine type, as by an operator's table.
        knows_machine_types: bool = false,
        /// Memory that each may use, in megabytes.
        memory_mb: u64 = 192,
        /// Sockets that each may open.
        sockets: u64 = 1_024,
    }
}
