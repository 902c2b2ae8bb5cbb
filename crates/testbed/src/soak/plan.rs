//! What happens in one run, drawn from its seed.

use std::time::Duration;

use clap::ValueEnum;

use crate::random::{RandomStream, StreamId};

/// The least memory that a deployment may set, in MiB.
const LEAST_MEMORY_MB: u64 = 32;
/// File descriptors of the sidecar.
const SOCKETS: u64 = 1_024;
/// Clients of a crowd.
const CROWD_CLIENTS: usize = 700;
/// The largest fleet of a deployment.
const LARGEST_FLEET: usize = 3_200;
/// Servers of a usual fleet.
const USUAL_FLEET: usize = 6;
/// Work of a usual request.
const USUAL_WORK: Duration = Duration::from_millis(30);
/// Length of the body of a usual response.
const USUAL_RESPONSE_BYTES: usize = 16;
/// Length of the body of a large response, close to the platform's limit.
const LARGE_RESPONSE_BYTES: usize = 60_000;

/// How the clients of a crowd behave. Each connects again as soon as its connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum CrowdKind {
    /// Complete requests with the longest body, written at once.
    WholeBodies,
    /// Bodies written slowly, which stop shortly before their end.
    SlowBodies,
    /// Bodies written at once, which stop shortly before their end.
    HaltedBodies,
    /// Heads of very many short fields, written slowly, which stop half way.
    ManyFields,
    /// Heads with one field that does not end, written at once.
    LongHeads,
    /// Chunked bodies, written at once, which stop shortly before their end.
    ChunkedBodies,
    /// Complete requests whose responses are not read.
    UnreadResponses,
    /// A request with much input behind it.
    Pipelined,
    /// Small and unsound requests, one after the other at full speed, under ever new ids.
    Flood,
    /// All kinds, in turn.
    Mixed,
}

impl CrowdKind {
    /// The kinds of single clients, in the order in which a mixed crowd has them.
    pub(super) const SINGLE: [Self; 8] = [
        Self::WholeBodies,
        Self::SlowBodies,
        Self::HaltedBodies,
        Self::ManyFields,
        Self::LongHeads,
        Self::ChunkedBodies,
        Self::UnreadResponses,
        Self::Pipelined,
    ];
}

/// A crowd of clients.
#[derive(Clone, Copy, Debug)]
pub struct CrowdPlan {
    /// How its clients behave.
    pub kind: CrowdKind,
    /// Number of clients.
    pub clients: usize,
    /// When they connect, from the start of the load.
    pub starts_at: Duration,
    /// How long they stay.
    pub lasts: Duration,
}

/// A signal, or a series of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// SIGHUP this many times, each after discovery has moved.
    Reload {
        /// Number of signals.
        signals: u32,
    },
    /// SIGKILL, and a new process after a pause.
    Kill,
    /// SIGTERM this many times, SIGKILL at the earliest time that the platform states, and a new
    /// process.
    Terminate {
        /// Number of signals.
        signals: u32,
    },
}

/// An action and its time from the start of the load.
#[derive(Clone, Copy, Debug)]
pub struct PlannedSignal {
    /// Time from the start of the load.
    pub at: Duration,
    /// What happens.
    pub action: SignalAction,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all draws.
    pub seed: u64,
    /// Memory limit of the sidecar, in MiB.
    pub memory_mb: u64,
    /// Limit on the sidecar's file descriptors.
    pub sockets: u64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Number of servers in the endpoint list.
    pub servers: usize,
    /// How long a server works on a request.
    pub work: Duration,
    /// Length of the body of a response.
    pub response_bytes: usize,
    /// Share of the requests that servers leave without a response.
    pub hang_share: f64,
    /// Usual requests a second on new connections, and as many on kept ones.
    pub usual_rate: f64,
    /// The crowd, if there is one.
    pub crowd: Option<CrowdPlan>,
    /// The signals, in the order of their times.
    pub signals: Vec<PlannedSignal>,
}

impl Plan {
    /// A run without a crowd and without signals, with the smallest limits.
    pub fn quiet(seed: u64, duration: Duration) -> Self {
        Self {
            seed,
            memory_mb: LEAST_MEMORY_MB,
            sockets: SOCKETS,
            duration,
            servers: USUAL_FLEET,
            work: USUAL_WORK,
            response_bytes: USUAL_RESPONSE_BYTES,
            hang_share: 0.0,
            usual_rate: 40.0,
            crowd: None,
            signals: Vec::new(),
        }
    }

    /// A quiet run with a crowd of this kind through all of it but the first and the last second.
    pub fn with_crowd(seed: u64, duration: Duration, kind: CrowdKind) -> Self {
        let margin = Duration::from_secs(1);
        Self {
            crowd: Some(CrowdPlan {
                kind,
                clients: CROWD_CLIENTS,
                starts_at: margin,
                lasts: duration.saturating_sub(2 * margin),
            }),
            ..Self::quiet(seed, duration)
        }
    }

    /// Makes the endpoint list that of the largest fleet.
    pub fn with_largest_fleet(self) -> Self {
        Self {
            servers: LARGEST_FLEET,
            ..self
        }
    }

    /// Makes servers slow, and their responses large.
    pub fn with_slow_large_responses(self) -> Self {
        Self {
            work: Duration::from_secs(1),
            response_bytes: LARGE_RESPONSE_BYTES,
            ..self
        }
    }

    /// Kills the process in the middle of the run and starts a new one.
    pub fn with_restart(mut self) -> Self {
        self.signals.push(PlannedSignal {
            at: self.duration / 2,
            action: SignalAction::Kill,
        });
        self
    }

    /// Moves discovery twice a second, with a SIGHUP each time.
    pub fn with_reloads(mut self) -> Self {
        let interval = Duration::from_millis(500);
        let mut at = 3 * interval;
        while at < self.duration {
            let action = SignalAction::Reload { signals: 1 };
            self.signals.push(PlannedSignal { at, action });
            at += interval;
        }
        self
    }

    /// Draws a run: signals in series always, a crowd in two runs of three.
    pub fn draw(seed: u64, duration: Duration) -> Self {
        let mut random = RandomStream::new(seed, StreamId::Faults, 0);
        let kinds = [
            CrowdKind::SINGLE.as_slice(),
            &[CrowdKind::Flood, CrowdKind::Mixed],
        ]
        .concat();
        let kind = kinds[random.index_below(kinds.len())];
        let has_crowd = random.bernoulli(2.0 / 3.0);
        let mut plan = if has_crowd {
            Self::with_crowd(seed, duration, kind)
        } else {
            Self::quiet(seed, duration)
        };
        if random.bernoulli(0.25) {
            plan = plan.with_largest_fleet();
        }
        if random.bernoulli(0.25) {
            plan = plan.with_slow_large_responses();
        }
        if random.bernoulli(0.5) {
            plan.hang_share = 0.1;
        }
        plan.signals = draw_signals(&mut random, duration);
        plan
    }
}

/// Draws signals that leave room for each other: a shutdown takes up to four seconds.
fn draw_signals(random: &mut RandomStream, duration: Duration) -> Vec<PlannedSignal> {
    let mut signals = Vec::new();
    let mut at = Duration::from_secs_f64(random.uniform_in(0.5, 3.0));
    while at < duration {
        let action = match random.index_below(4) {
            0 => SignalAction::Reload {
                signals: 1 + random.index_below(4) as u32,
            },
            1 => SignalAction::Kill,
            _ => SignalAction::Terminate {
                signals: 1 + random.index_below(3) as u32,
            },
        };
        signals.push(PlannedSignal { at, action });
        at += Duration::from_secs_f64(random.uniform_in(0.2, 4.0));
    }
    signals
}
