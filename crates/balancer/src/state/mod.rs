//! What a balancer remembers, and how it writes to its peers. Decisions are in `policy/`, what answers tell in `estimators/`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::f64::consts::LN_2;

use crate::policy::{INITIAL_RETRY_BUDGET, REASK};
use crate::*;

/// Where actions are pushed.
pub(crate) type Actions = Vec<Action>;

pub(crate) const TOKEN_TICK: u64 = 0;
pub(crate) const TOKEN_ALARM: u64 = 1;

/// Decides for one sidecar. Instances share nothing.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Micros,
    pub(crate) started: bool,
    pub(crate) servers: Vec<Server>,
    pub(crate) places: BTreeMap<ServerId, usize>,
    pub(crate) order: Vec<usize>,
    /// Pace of each kind of machine of which one has served.
    pub(crate) kinds: BTreeMap<u32, f64>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) alarms: BTreeSet<(Micros, RequestId)>,
    pub(crate) probe_next: Vec<ServerId>,
    pub(crate) next_probe: Micros,
    pub(crate) last_probe: Micros,
    pub(crate) suspects_turn: bool,
    pub(crate) traffic: Rate,
    /// Sizes of what was sent, and a warm server's part of it a microsecond.
    pub(crate) work: Rate,
    pub(crate) part: f64,
    pub(crate) gossip: Gossip,
    pub(crate) log_mean: f64,
    pub(crate) log_var: f64,
    pub(crate) strain: f64,
    pub(crate) strain_at: Micros,
    pub(crate) unit: f64,
    pub(crate) busy: f64,
    /// Servers whose last probe failed.
    pub(crate) mute: usize,
    pub(crate) errors: f64,
    pub(crate) mean_size: f64,
    pub(crate) mean_worth: f64,
    /// Share of the requests that the fleet has no time for.
    pub(crate) turned: f64,
    pub(crate) budget: f64,
    pub(crate) version: u64,
    pub(crate) subscribed: bool,
    pub(crate) ask_at: Option<Micros>,
    pub(crate) reask: Micros,
}

impl Balancer {
    /// A balancer that knows nothing yet.
    ///
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let first = settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(1) as f64;
        let mut new = Self::blank(settings, seed);
        new.log_mean = (first / 4.0).ln();
        new.log_var = 1.0;
        new.unit = first / 8.0;
        new.busy = 0.5;
        new.budget = INITIAL_RETRY_BUDGET;
        new.reask = REASK;
        Ok(new)
    }

    pub(crate) fn find(&self, id: ServerId) -> Option<usize> {
        self.places.get(&id).copied()
    }

    pub(crate) fn class(&self, request: &Request) -> &RequestClass {
        &self.settings.classes[usize::from(request.class.0)]
    }

    /// With nothing known.
    pub(crate) fn blank(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            started: false,
            servers: Vec::new(),
            places: BTreeMap::new(),
            order: Vec::new(),
            kinds: BTreeMap::new(),
            requests: BTreeMap::new(),
            alarms: BTreeSet::new(),
            probe_next: Vec::new(),
            next_probe: 0,
            last_probe: 0,
            suspects_turn: false,
            traffic: Rate::default(),
            work: Rate::default(),
            part: 0.0,
            gossip: Gossip::default(),
            log_mean: 0.0,
            log_var: 0.0,
            strain: 0.0,
            strain_at: 0,
            unit: 0.0,
            busy: 0.0,
            mute: 0,
            errors: 0.0,
            mean_size: 0.0,
            mean_worth: 0.0,
            turned: 0.0,
            budget: 0.0,
            version: 0,
            subscribed: false,
            ask_at: None,
            reask: 0,
        }
    }

    pub(crate) fn random_peer(&mut self) -> Option<u32> {
        let peer = self.settings.has_peers().then(|| self.rng.u32(0..self.settings.balancer_count - 1))?;
        Some(if peer >= self.settings.balancer_index { peer + 1 } else { peer })
    }

    /// Gossips the suspicion of a server about log N times.
    pub(crate) fn spread(&mut self, i: usize) {
        let times = u32::BITS - self.settings.balancer_count.leading_zeros() + 1;
        self.gossip.add(say(SAY_SUSPECT, &self.servers[i]), times);
    }

    /// What is left of something learnt at a time, where half is forgotten in a given span.
    pub(crate) fn fade(&self, since: Micros, half: f64) -> f64 {
        0.5_f64.powf(self.now.saturating_sub(since) as f64 / half)
    }
}

/// Negative logarithm of the chance that a normal variable exceeds z, to within a few per cent.
pub(crate) fn surprise(z: f64) -> f64 {
    if z < 0.0 { 0.69 * (1.3 * z).exp() } else { 0.69 + z * (0.8 + 0.39 * z) }
}

impl Settings {
    /// True where there is somebody to message.
    pub(crate) fn has_peers(&self) -> bool {
        self.gossip && self.balancer_count > 1
    }
}

/// Own traffic is forgotten by half in this time.
pub(crate) const TRAFFIC_HALF: f64 = 5_000_000.0;

/// Events per microsecond, of which half is forgotten in a given time.
#[derive(Default)]
pub(crate) struct Rate {
    count: f64,
    at: Micros,
}

impl Rate {
    fn left(&self, now: Micros, half: f64) -> f64 {
        self.count * 0.5_f64.powf(now.saturating_sub(self.at) as f64 / half)
    }

    pub(crate) fn count(&mut self, now: Micros, half: f64) {
        self.add(1.0, now, half);
    }

    pub(crate) fn add(&mut self, size: f64, now: Micros, half: f64) {
        self.count = size + self.left(now, half);
        self.at = now;
    }

    pub(crate) fn get(&self, now: Micros, half: f64) -> f64 {
        self.left(now, half) * LN_2 / half
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Cause {
    Probe,
    Work,
    Gossip,
}

impl Cause {
    /// The log line for it.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Probe => "suspected: probes fail",
            Self::Work => "suspected: work fails or is overdue",
            Self::Gossip => "suspected: a peer says so",
        }
    }
}

#[derive(Clone, Copy)]
pub(crate) struct Suspicion {
    pub(crate) cause: Cause,
    pub(crate) since: Micros,
    pub(crate) hold: Micros,
}

/// An attempt that is still out.
pub(crate) struct Outstanding {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) sent: Micros,
    pub(crate) size: f64,
    pub(crate) load: f64,
}

/// A server, as this balancer knows it.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) member: Endpoint,
    /// Listed as draining since its last start.
    pub(crate) drained: bool,
    /// Turned work away while nothing was heard of the list: it may drain.
    pub(crate) doubted: bool,
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) dead: bool,
    pub(crate) strikes: u32,
    pub(crate) struck: Micros,
    /// Attempts that failed since one was served.
    pub(crate) failures: u32,
    pub(crate) served: Micros,
    pub(crate) probing: Option<Micros>,
    /// The probe that is out only asks for the load: its failure alone is not confirmed.
    pub(crate) glance: bool,
    /// The last probe failed.
    pub(crate) mute: bool,
    pub(crate) probed: Micros,
    pub(crate) confirm: Option<Micros>,
    pub(crate) reached: bool,
    pub(crate) askers: Vec<u32>,
    pub(crate) own: Vec<Outstanding>,
    pub(crate) foreign: f64,
    pub(crate) foreign_at: Micros,
    /// Moving means of what reports said it holds, and of own requests at it at the time.
    pub(crate) held: f64,
    pub(crate) held_own: f64,
    /// Share of its attempts that fail.
    pub(crate) failing: f64,
    pub(crate) pace: f64,
    pub(crate) pace_at: Micros,
    pub(crate) cold_since: Option<Micros>,
    /// What was sent to it while it is cold: when, and sizes.
    pub(crate) cold_sent: VecDeque<(Micros, f64)>,
}

impl Server {
    pub(crate) fn new(member: Endpoint) -> Self {
        let drained = member.status == EndpointStatus::Draining;
        Self { member, drained, reached: true, pace: 1.0 / member.machine_type.speed, ..Self::default() }
    }

    pub(crate) fn incarnation(&self) -> Micros {
        self.member.incarnation.unwrap_or(0)
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Micros,
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) fate: Fate,
}

/// A request that is still owed its answer.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) class: ClassId,
    pub(crate) arrived: Micros,
    pub(crate) aim: Micros,
    pub(crate) give_up: Micros,
    pub(crate) size: f64,
    pub(crate) attempts: Vec<Attempt>,
    /// Servers asked for their load, and those of them that have not answered yet.
    pub(crate) asked: Vec<ServerId>,
    pub(crate) looking: Vec<ServerId>,
    pub(crate) streaming: bool,
    /// When to look at it again; alarms set earlier for another time are void.
    pub(crate) alarm: Micros,
}

/// Where a further attempt may go.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Reach {
    Anywhere,
    Zone(u32),
    Cell(u32),
}

impl Reach {
    pub(crate) fn holds(self, member: &Endpoint) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Zone(zone) => member.zone == zone,
            Self::Cell(cell) => member.cell == cell,
        }
    }
}

// Messages between balancers: what is said, the server's fingerprint, and its incarnation.

pub(crate) const SAY_ASK: u8 = 0;
pub(crate) const SAY_REACHED: u8 = 1;
pub(crate) const SAY_SUSPECT: u8 = 2;

pub(crate) fn say(what: u8, server: &Server) -> Vec<u8> {
    let mut message = vec![what];
    message.extend_from_slice(&server.member.stable_hash.to_be_bytes());
    message.extend_from_slice(&server.incarnation().to_be_bytes());
    message
}

/// The parts of a message: several may come together.
pub(crate) fn unpack(message: &[u8]) -> impl Iterator<Item = (u8, u64, Micros)> + '_ {
    message.chunks_exact(17).filter_map(|part| {
        let (&what, rest) = part.split_first()?;
        let (name, incarnation) = rest.split_first_chunk::<8>()?;
        let incarnation: [u8; 8] = incarnation.try_into().ok()?;
        Some((what, u64::from_be_bytes(*name), Micros::from_be_bytes(incarnation)))
    })
}

/// Suspicions that are still to be told, and how often each.
#[derive(Default)]
pub(crate) struct Gossip(Vec<(Vec<u8>, u32)>);

impl Gossip {
    pub(crate) fn add(&mut self, message: Vec<u8>, times: u32) {
        self.0.push((message, times));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The next message: as many suspicions as asked for, in turn.
    pub(crate) fn next(&mut self, most: usize) -> Vec<u8> {
        let told = self.0.len().min(most);
        let message = self.0[..told].iter().flat_map(|g| g.0.iter().copied()).collect();
        self.0[..told].iter_mut().for_each(|g| g.1 -= 1);
        self.0.rotate_left(told);
        self.0.retain(|(_, times)| *times > 0);
        message
    }
}
