//! The names of the keys in the platform's documents, each once for its reader and its writer.
//!
//! Owns the spelling of the keys. What a key means, its unit and its default stand with the reader
//! of its document; the names of values stand with the type that they name.

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
    /// How changes of the endpoint list arrive.
    pub(crate) const MEMBERSHIP_MODE: &str = "membership-mode";
    /// Whether a request's value counts by request or by unit of work.
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
    /// Its name.
    pub(crate) const NAME: &str = "name";
    /// Whether its requests may execute more than once.
    pub(crate) const IDEMPOTENCY: &str = "semantics";
    /// Which servers drop duplicates.
    pub(crate) const DEDUPLICATION_SCOPE: &str = "dedup-scope";
    /// For how long duplicates are dropped, in milliseconds.
    pub(crate) const DEDUPLICATION_WINDOW_MS: &str = "window-ms";
    /// Value of a response.
    pub(crate) const PRIORITY_WEIGHT: &str = "importance";
    /// Share of the value that a late response keeps.
    pub(crate) const LATE_VALUE: &str = "late-value";
    /// Multiple of the work by which the latency objective grows.
    pub(crate) const OBJECTIVE_PER_WORK: &str = "aim-stretch";
    /// Latency objective in milliseconds.
    pub(crate) const LATENCY_OBJECTIVE_MS: &str = "objective-ms";
    /// Deadline in milliseconds.
    pub(crate) const DEADLINE_MS: &str = "deadline-ms";
    /// Whether responses are streamed.
    pub(crate) const STREAMED: &str = "streamed";
}

/// Keys of the settings on what a deployment permits.
pub(crate) mod permissions {
    /// Attempts can be cancelled.
    pub(crate) const CANCELLATION: &str = "cancel";
    /// Servers can be checked.
    pub(crate) const HEALTH_CHECKS: &str = "probes";
    /// Balancers can message each other.
    pub(crate) const GOSSIP: &str = "peers";
    /// A request may have two attempts out at once.
    pub(crate) const HEDGING: &str = "may-duplicate";
    /// Clients receive the Retry-After of a rejection.
    pub(crate) const RETRY_AFTER: &str = "retry-after";
    /// Longest Retry-After that a client honours, in milliseconds.
    pub(crate) const MAX_RETRY_AFTER_MS: &str = "max-retry-after-ms";
    /// Most attempts for one request.
    pub(crate) const MAX_ATTEMPTS: &str = "max-attempts";
    /// Time for a connection to be established, in milliseconds.
    pub(crate) const CONNECT_TIMEOUT_MS: &str = "connect-timeout-ms";
    /// Time after which servers close an idle connection, in milliseconds.
    pub(crate) const IDLE_TIMEOUT_MS: &str = "idle-close-ms";
}

/// Keys of the settings on what actions cost.
pub(crate) mod fees {
    /// A health check.
    pub(crate) const HEALTH_CHECK: &str = "probe";
    /// A new connection.
    pub(crate) const HANDSHAKE: &str = "handshake";
    /// Open connections.
    pub(crate) const CONNECTION: &str = "connection";
    /// Attempts in another zone.
    pub(crate) const CROSS_ZONE: &str = "cross-zone";
}

/// Keys of the settings on load reports.
pub(crate) mod report {
    /// Names of the values of a report, in their order.
    pub(crate) const FIELDS: &str = "fields";
    /// What carries reports.
    pub(crate) const SOURCE: &str = "source";
}

/// Keys of the settings on draining and cold servers.
pub(crate) mod safety {
    /// Longest time between two polls of discovery, in milliseconds.
    pub(crate) const MAX_POLL_INTERVAL_MS: &str = "ask-every-ms";
    /// Time for which a draining server accepts requests, in milliseconds.
    pub(crate) const DRAIN_GRACE_MS: &str = "drain-grace-ms";
    /// Whether a server that was removed without draining may still be sent requests.
    pub(crate) const ONLY_DRAINING_BINDS: &str = "only-draining-binds";
    /// Share of its capacity that a server has at its start.
    pub(crate) const INITIAL_CAPACITY: &str = "cold-from";
    /// Time until a server has all its capacity, in milliseconds.
    pub(crate) const SLOW_START_MS: &str = "cold-ms";
    /// Multiple of its capacity at which a cold server is overloaded.
    pub(crate) const OVERLOAD_FACTOR: &str = "overload-factor";
    /// For how long it takes that load, in milliseconds.
    pub(crate) const OVERLOAD_WINDOW_MS: &str = "fall-ms";
}

/// Keys of the endpoint list.
pub(crate) mod endpoint_list {
    /// Revision of the list.
    pub(crate) const REVISION: &str = "rev";
    /// Whether every server is listed.
    pub(crate) const IS_FULL: &str = "all";
    /// The servers.
    pub(crate) const ENDPOINTS: &str = "targets";
}

/// Keys of one server of the endpoint list.
pub(crate) mod endpoint {
    /// Its name.
    pub(crate) const ID: &str = "uid";
    /// Its address and port.
    pub(crate) const ADDRESS: &str = "endpoint";
    /// Its zone.
    pub(crate) const ZONE: &str = "az";
    /// Its machine type.
    pub(crate) const MACHINE_TYPE: &str = "model";
    /// Number of its deployment cell.
    pub(crate) const CELL: &str = "pod_group";
    /// Whether it may be sent requests.
    pub(crate) const STATUS: &str = "state";
    /// Its size in proportion to other servers'. Written and never read.
    pub(crate) const CAPACITY_HINT: &str = "capacity_hint";
    /// Unix time of its latest start, in milliseconds.
    pub(crate) const STARTED_AT_MS: &str = "boot_ms";
}
