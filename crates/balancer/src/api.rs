//! The interface of the balancer: its settings, the events it is told and the actions it asks for.
//!
//! Times are whole microseconds on one clock that only rises. Ids are interned by the host and
//! carry no meaning, apart from [`Endpoint::stable_hash`], which all balancers compute alike.

use std::fmt;

/// Microseconds: a point in time or a span.
pub type Micros = u64;

/// A server, as interned by the host for this balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// A request; never used twice within one life of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request class: the index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u16);

/// May a request run more than once?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat anywhere.
    Idempotent,
    /// Carries a key by which the servers of one scope drop repeats for a while.
    IdempotencyKey,
    /// Must never run twice.
    NonIdempotent,
}

/// The servers among which repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What the balancer knows of a request class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Worth of one request in time.
    pub priority_weight: f64,
    /// Answers within this time have full worth.
    pub latency_objective: Micros,
    /// Time a client waits across all its tries.
    pub deadline: Micros,
    /// Share of the worth that a late answer keeps.
    pub late_value: f64,
    /// The objective grows by this multiple of the request's own work.
    pub objective_per_work: f64,
    /// Whether a request may run again.
    pub idempotency: Idempotency,
    /// Where repeats of a keyed request are dropped.
    pub deduplication_scope: DeduplicationScope,
    /// For how long they are dropped, from the first attempt that may have run.
    pub deduplication_window: Micros,
    /// The answer is streamed: it may start before it ends.
    pub streamed: bool,
}

impl RequestClass {
    /// A class of worth 1 whose late answers are worth nothing.
    pub fn new(idempotency: Idempotency, latency_objective: Micros, deadline: Micros) -> Self {
        Self {
            priority_weight: 1.0,
            latency_objective,
            deadline,
            late_value: 0.0,
            objective_per_work: 0.0,
            idempotency,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: 0,
            streamed: false,
        }
    }
}

/// What a deployment tells its balancers at start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// Zone of this balancer, in the numbering of [`Endpoint::zone`].
    pub zone: u32,
    /// Number of this balancer among its peers.
    pub balancer_index: u32,
    /// How many balancers there are.
    pub balancer_count: u32,
    /// Shortest time between two calls of the balancer.
    pub step: Micros,
    /// Attempts can be cancelled.
    pub cancellation: bool,
    /// Servers can be probed.
    pub health_checks: bool,
    /// Balancers can message each other.
    pub gossip: bool,
    /// A request may have two attempts outstanding.
    pub hedging: bool,
    /// Clients hear the retry-after of a refusal.
    pub retry_after: bool,
    /// Longest retry-after that clients honour.
    pub max_retry_after: Micros,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Price of one probe per request, as a fraction of the result.
    pub health_check_fee: f64,
    /// Price of one new connection per request, as a fraction of the result.
    pub handshake_fee: f64,
    /// A connection that stands idle for this long is closed.
    pub idle_timeout: Micros,
    /// Price of a mean of 100 open connections for each server.
    pub connection_fee: f64,
    /// Price of one attempt per request crossing zones.
    pub cross_zone_fee: f64,
    /// Load reports carry the requests held and waiting, with probes.
    pub load_reports: bool,
    /// Load reports come with answers too, each as of some time before.
    pub load_reports_in_responses: bool,
    /// A request's worth counts for each unit of its work.
    pub weight_by_work: bool,
    /// The list of servers must be asked for.
    pub poll_endpoints: bool,
    /// Longest time to go without asking for the list.
    pub max_poll_interval: Micros,
    /// Only a listed drain binds; a server that is merely gone may be tried.
    pub only_draining_binds: bool,
    /// A server starts at this share of its capacity or more.
    pub cold_capacity_share: f64,
    /// And is warm after this time.
    pub slow_start_time: Micros,
    /// A cold server falls over that is sent more than this many times what it can do,
    pub cold_overload_factor: f64,
    /// for this long, by all balancers together.
    pub cold_overload_window: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            classes: Vec::new(),
            zone: 0,
            balancer_index: 0,
            balancer_count: 1,
            step: 1_000,
            cancellation: true,
            health_checks: true,
            gossip: false,
            hedging: true,
            retry_after: true,
            max_retry_after: 1_000_000,
            max_attempts: 3,
            health_check_fee: 0.01,
            handshake_fee: 0.0,
            idle_timeout: 5_000_000,
            connection_fee: 0.0,
            cross_zone_fee: 0.0,
            load_reports: false,
            load_reports_in_responses: false,
            weight_by_work: false,
            poll_endpoints: false,
            max_poll_interval: 10_000_000,
            only_draining_binds: false,
            cold_capacity_share: 0.3,
            slow_start_time: 10_000_000,
            cold_overload_factor: 2.5,
            cold_overload_window: 1_500_000,
        }
    }
}

/// A setting that the balancer cannot work with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting.
    pub setting: String,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.setting, self.reason)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Tells whether the balancer can work with these settings.
    ///
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let check = |ok: bool, setting: &str, reason: &'static str| {
            let setting = setting.to_owned();
            if ok { Ok(()) } else { Err(SettingsError { setting, reason }) }
        };
        check(!self.classes.is_empty(), "classes", "at least one class is needed")?;
        for (i, class) in self.classes.iter().enumerate() {
            let worth = class.priority_weight.is_finite() && class.priority_weight >= 0.0;
            check(worth, &format!("classes[{i}].worth"), "must be finite and not negative")?;
            let objective = class.latency_objective > 0;
            check(objective, &format!("classes[{i}].objective"), "must be above zero")?;
            let deadline = class.deadline >= class.latency_objective;
            check(deadline, &format!("classes[{i}].deadline"), "must not be below the objective")?;
            let late = (0.0..=1.0).contains(&class.late_value);
            check(late, &format!("classes[{i}].late_value"), "must lie between 0 and 1")?;
            let stretch = class.objective_per_work.is_finite() && class.objective_per_work >= 0.0;
            check(stretch, &format!("classes[{i}].stretch"), "must be finite and not negative")?;
        }
        check(self.max_attempts > 0, "max_attempts", "at least one attempt is needed")?;
        let share = self.cold_capacity_share > 0.0 && self.cold_capacity_share <= 1.0;
        check(share, "cold_share", "must be above 0 and at most 1")?;
        let multiple = self.cold_overload_factor > 0.0 && self.cold_overload_factor.is_finite();
        check(multiple, "cold_multiple", "must be finite and above 0")?;
        let fees = [self.health_check_fee, self.handshake_fee, self.connection_fee, self.cross_zone_fee]
            .iter()
            .all(|f| f.is_finite());
        check(fees, "probe_fee, connection_fee or cross_zone_fee", "must be finite")?;
        check(self.max_poll_interval > 0, "ask_every", "must be above zero")
    }
}

/// A request as it came from a client.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// How long the client still waits for this try.
    pub time_left: Micros,
    /// Expected work, in time on a standard core, where the client can tell.
    pub work_hint: Option<Micros>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered well.
    Served,
    /// Answered with an error; may have run.
    ServerError,
    /// Rejected unseen; never ran.
    Rejected,
    /// No answer in time; may have run or still be running.
    TimedOut,
    /// No connection came about; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled by this balancer; may have run.
    Cancelled,
    /// Never left this balancer.
    NotSent,
}

impl Outcome {
    /// True where the outcome proves that the attempt had no effect.
    pub fn never_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// What a server says of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests it holds, running and waiting.
    pub in_flight: f64,
    /// Those of them that wait.
    pub queued: f64,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, in the order of the sends.
    pub attempt: u32,
    /// The server it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has its final answer, through this outcome or before.
    pub finished: bool,
    /// Time since the send.
    pub elapsed: Micros,
    /// Load report that came along.
    pub load_report: Option<LoadReport>,
}

/// How a server stands in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// In service.
    #[default]
    Ready,
    /// Finishing its work; nothing new may be sent.
    Draining,
    /// Removed.
    Removed,
}

/// What a machine of some kind can do, as far as the deployment tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineType {
    /// The kind's number: what is learnt of one server tells of the others of its kind.
    pub id: u32,
    /// Requests that it runs at a time; above zero.
    pub cores: f64,
    /// Work per time of one core, against a usual one; above zero.
    pub speed: f64,
}

impl Default for MachineType {
    fn default() -> Self {
        Self { id: 0, cores: 1.0, speed: 1.0 }
    }
}

/// One line of the server list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// A hash of the server's address, computed alike by every balancer: its name in gossip.
    pub stable_hash: u64,
    /// How it stands.
    pub status: EndpointStatus,
    /// Time of its most recent start; `None` for long ago. Serves as incarnation.
    pub incarnation: Option<Micros>,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// What kind of machine it is.
    pub machine_type: MachineType,
}

impl Endpoint {
    /// A ready server, started long ago, in zone 0 and cell 0.
    pub fn ready(server: ServerId, stable_hash: u64) -> Self {
        let status = EndpointStatus::Ready;
        Self { server, stable_hash, status, ..Self::default() }
    }
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the servers that changed.
    Incremental,
    /// Every server; one that is missing has been removed.
    Full,
    /// Every server as last known before a restart, possibly stale.
    Cached,
    /// Nothing: a call failed, or the subscription broke.
    Lost,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the server list.
    EndpointsUpdated {
        /// What it holds.
        kind: UpdateKind,
        /// Version of the list.
        version: u64,
        /// The servers named.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived; it is owed one final answer.
    RequestArrived(IncomingRequest),
    /// A streamed answer started.
    ResponseStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left; nothing more is owed.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer came due.
    TimerFired {
        /// The token it was set with.
        token: u64,
    },
    /// A probe ended.
    HealthCheckEnded {
        /// The server probed.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Load report that came along.
        load_report: Option<LoadReport>,
    },
    /// A message from another balancer.
    GossipReceived {
        /// Its number.
        from: u32,
        /// What it sent.
        message: Vec<u8>,
    },
}

/// Something the host is asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// Time-out; `None` until the client gives up.
        timeout: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: not done, trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should come back.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, with no promise about effects.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Send [`Event::TimerFired`] later.
    SetTimer {
        /// Token to return.
        token: u64,
        /// How much later.
        after: Micros,
    },
    /// Probe a server.
    HealthCheck {
        /// Which.
        server: ServerId,
    },
    /// Message one peer, or all.
    SendGossip {
        /// Its number, or `None` for all.
        to: Option<u32>,
        /// What to send.
        message: Vec<u8>,
    },
    /// Ask for list changes from now on.
    PollEndpoints,
    /// A line for the log.
    Log {
        /// What happened.
        text: String,
        /// The server it is about.
        server: Option<ServerId>,
    },
}
