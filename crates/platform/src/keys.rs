//! The names of the keys in the platform's documents, defined once for readers and writers.
//!
//! The reader of each document defines the default of a key and converts its unit. The names of
//! values are defined next to the types that they stand for.

/// Keys of the settings object.
pub(crate) mod settings {
    /// Name of the balancer's own zone.
    pub(crate) const ZONE: &str = "az";
    /// Names of all zones.
    pub(crate) const ZONES: &str = "zones";
    /// Number of balancers.
    pub(crate) const BALANCER_COUNT: &str = "balancers";
    /// Number of this balancer, from 0.
    pub(crate) const BALANCER_INDEX: &str = "my-number";
    /// How the balancer learns of changes to the endpoint list.
    pub(crate) const MEMBERSHIP_MODE: &str = "membership-mode";
    /// Whether the priority weight applies per request or per unit of work.
    pub(crate) const WEIGHT_BASIS: &str = "worth-by";
    /// Shortest time between two calls of the balancer, in milliseconds.
    pub(crate) const STEP_MS: &str = "step-ms";
    /// The request classes.
    pub(crate) const REQUEST_CLASSES: &str = "request-classes";
    /// The object of [`permissions`](super::permissions).
    pub(crate) const PERMISSIONS: &str = "permissions";
    /// The object of [`fees`](super::fees).
    pub(crate) const FEES: &str = "fees";
    /// The object of [`report`](super::report).
    pub(crate) const REPORT: &str = "report";
    /// The object of [`safety`](super::safety).
    pub(crate) const SAFETY: &str = "safety";
}

/// Keys of one request class of the settings.
pub(crate) mod request_class {
    /// Name of the class.
    pub(crate) const NAME: &str = "name";
    /// Whether its requests may be executed more than once.
    pub(crate) const IDEMPOTENCY: &str = "semantics";
    /// Which servers share idempotency keys and drop each other's duplicates.
    pub(crate) const DEDUPLICATION_SCOPE: &str = "dedup-scope";
    /// How long duplicates are dropped, in milliseconds.
    pub(crate) const DEDUPLICATION_WINDOW_MS: &str = "window-ms";
    /// Value of a response within the latency objective.
    pub(crate) const PRIORITY_WEIGHT: &str = "importance";
    /// Share of its value that a late response keeps.
    pub(crate) const LATE_VALUE: &str = "late-value";
    /// Multiple of a request's work hint by which its latency objective grows.
    pub(crate) const OBJECTIVE_PER_WORK: &str = "aim-stretch";
    /// Latency objective in milliseconds.
    pub(crate) const LATENCY_OBJECTIVE_MS: &str = "objective-ms";
    /// Deadline in milliseconds.
    pub(crate) const DEADLINE_MS: &str = "deadline-ms";
    /// Whether responses are streamed.
    pub(crate) const STREAMED: &str = "streamed";
}

/// Keys for what a deployment permits.
pub(crate) mod permissions {
    /// Whether attempts can be cancelled.
    pub(crate) const CANCELLATION: &str = "cancel";
    /// Whether servers accept health checks.
    pub(crate) const HEALTH_CHECKS: &str = "probes";
    /// Whether balancers can send each other messages.
    pub(crate) const GOSSIP: &str = "peers";
    /// Whether a request may have two attempts in flight at once.
    pub(crate) const HEDGING: &str = "may-duplicate";
    /// Whether clients receive the Retry-After of a rejection.
    pub(crate) const RETRY_AFTER: &str = "retry-after";
    /// Longest Retry-After that a client honours, in milliseconds.
    pub(crate) const MAX_RETRY_AFTER_MS: &str = "max-retry-after-ms";
    /// Largest number of attempts for one request.
    pub(crate) const MAX_ATTEMPTS: &str = "max-attempts";
    /// Time allowed for establishing a connection, in milliseconds.
    pub(crate) const CONNECT_TIMEOUT_MS: &str = "connect-timeout-ms";
    /// Time after which servers close an idle connection, in milliseconds.
    pub(crate) const IDLE_TIMEOUT_MS: &str = "idle-close-ms";
}

/// Keys for what actions cost.
pub(crate) mod fees {
    /// Cost of a health check.
    pub(crate) const HEALTH_CHECK: &str = "probe";
    /// Cost of a new connection.
    pub(crate) const HANDSHAKE: &str = "handshake";
    /// Cost of open connections.
    pub(crate) const CONNECTION: &str = "connection";
    /// Cost of attempts in another zone.
    pub(crate) const CROSS_ZONE: &str = "cross-zone";
}

/// Keys for load reports.
pub(crate) mod report {
    /// Names of the fields of a report, in order.
    pub(crate) const FIELDS: &str = "fields";
    /// How reports are delivered.
    pub(crate) const SOURCE: &str = "source";
}

/// Keys for draining servers and for slow start.
pub(crate) mod safety {
    /// Longest time between two polls of discovery, in milliseconds.
    pub(crate) const MAX_POLL_INTERVAL_MS: &str = "ask-every-ms";
    /// How long a draining server still accepts requests, in milliseconds.
    pub(crate) const DRAIN_GRACE_MS: &str = "drain-grace-ms";
    /// Whether a server that was removed without draining may still be sent requests.
    pub(crate) const ONLY_DRAINING_BINDS: &str = "only-draining-binds";
    /// Share of its capacity that a server has right after its start.
    pub(crate) const INITIAL_CAPACITY: &str = "cold-from";
    /// Time after its start until a server has its full capacity, in milliseconds.
    pub(crate) const SLOW_START_MS: &str = "cold-ms";
    /// Multiple of its capacity above which a server in slow start is overloaded.
    pub(crate) const OVERLOAD_FACTOR: &str = "overload-factor";
    /// Window over which a server in slow start must not be overloaded, in milliseconds.
    pub(crate) const OVERLOAD_WINDOW_MS: &str = "fall-ms";
}

/// Keys of the endpoint list.
pub(crate) mod endpoint_list {
    /// Revision of the list.
    pub(crate) const REVISION: &str = "rev";
    /// Whether the list has every server.
    pub(crate) const IS_FULL: &str = "all";
    /// The entries of the servers.
    pub(crate) const ENDPOINTS: &str = "targets";
}

/// Keys of one server of the endpoint list.
pub(crate) mod endpoint {
    /// Name of the server.
    pub(crate) const ID: &str = "uid";
    /// Its address and port.
    pub(crate) const ADDRESS: &str = "endpoint";
    /// Its zone.
    pub(crate) const ZONE: &str = "az";
    /// Its machine type.
    pub(crate) const MACHINE_TYPE: &str = "model";
    /// Number of its deployment cell.
    pub(crate) const CELL: &str = "pod_group";
    /// Whether it accepts requests.
    pub(crate) const STATUS: &str = "state";
    /// Its capacity relative to other servers. Written but never read.
    pub(crate) const CAPACITY_HINT: &str = "capacity_hint";
    /// Unix time of its latest start, in milliseconds.
    pub(crate) const STARTED_AT_MS: &str = "boot_ms";
}
