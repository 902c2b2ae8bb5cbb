//! Every decision of the balancer. Its interface, the settings, events and actions, is `api.rs`.
//!
//! Order of this page: members and suspicion, picking, attempts, refusals, drains and cold starts,
//! list following. The ordinary path is that of `docs/design.md`; each departure says what it guards.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;
use crate::state::*;

/// How often the balancer looks around, in microseconds: well under any time an answer is wanted in.
const TICK: Micros = 25_000;
/// Time between random probes: what keeps their fee under the last figure at own traffic, within these two;
/// while a server is suspected they come so many times as often, every other one for a suspect.
const PROBE_PERIOD: Micros = 1_000_000;
const PROBE_PERIOD_MOST: Micros = 5_000_000;
const PROBE_HASTE: Micros = 4;
const PROBE_COST: f64 = 0.001;
/// Own traffic is forgotten by half in this time.
const TRAFFIC_HALF: f64 = 5_000_000.0;
/// Suspicions told in one message: as many as fit.
const GOSSIP_LINES: usize = 15;
/// Pause before a failed probe is confirmed, by a second probe or by what intermediates say.
const CONFIRM_PAUSE: Micros = 150_000;
/// Peers asked to confirm a failed probe.
const INTERMEDIATES: usize = 3;
/// Time without a sign of life after which a suspect is dead, and the least between two probes of it.
const DEAD_AFTER: Micros = 8_000_000;
const SUSPECT_PROBE: Micros = 400_000;
/// Where more than this share of the servers in use fail their probes, the trouble is with the probes.
const PROBES_LIE: f64 = 0.3;
/// Failures in a row raise a suspicion once they are as unlikely as this, as a negative logarithm, where
/// other servers fail as often as they do: two of them where failures are rare.
const FAILURES: f64 = 9.0;
const FAILURE_RATE: f64 = 0.01;
const FAILURE_WEIGHT: f64 = 0.02;
/// A server that fails part of its work is taken for so much slower, and no more than if it failed this part.
const FAILING_MOST: f64 = 0.8;
/// Outstanding work raises a suspicion once its silence is as surprising as this, as the negative
/// logarithm of its probability on a sound server: one in a million, as answers of one server hang together.
const SURPRISE: f64 = 14.0;
/// A suspicion raised by work outlives good probes for this long, doubled each time it returns.
const WORK_HOLD: Micros = 500_000;
const WORK_HOLD_MOST: Micros = 8_000_000;
/// After this long without a new suspicion, earlier ones are forgotten.
const FORGET: Micros = 20_000_000;
/// A balancer uses a stable random part of the fleet: what keeps the fee for open connections under this
/// share if all do so, within these two, and at least so many for each own request a second.
const SUBSET_COST: f64 = 0.006;
const SUBSET_LEAST: f64 = 3.0;
const SUBSET_MOST: f64 = 24.0;
const SUBSET_TRAFFIC: f64 = 0.25;
/// Where new connections are dear, the part is so small that each of its servers gets so many own requests in
/// the time after which an idle connection closes, and no smaller than this.
const SUBSET_KEEP: f64 = 12.0;
const SUBSET_DEAR: f64 = 4.0;
const HANDSHAKE_FEE: f64 = 0.005;
/// A served request within this time outweighs a suspicion heard from a peer.
const GOSSIP_DOUBT: Micros = 500_000;
/// Most servers asked for their load before a send; fewer while the chance to miss an idle one is low.
const LOOKS: f64 = 8.0;
const LOOKS_MISS: f64 = 0.05;
/// Highest fee for one probe per request at which servers are asked before each send.
const LOOK_FEE: f64 = 0.005;
/// Share of the objective that may pass in asking.
const LOOK_WAIT: f64 = 0.02;
/// Weight of a new sample in the moving means, and in the pace of one server, which sees fewer.
const MEAN_WEIGHT: f64 = 0.05;
const PACE_WEIGHT: f64 = 0.15;
/// A pace is forgotten by half in this time: neighbours come and go in seconds.
const PACE_HALF: f64 = 3_000_000.0;
/// Further attempts earned by each request, what one costs where none has run, and the most saved up: a
/// fleet that turns work away must not get each request several times, and cold servers get none of these.
const RETRY_EARN: f64 = 0.05;
const RETRY_UNRUN: f64 = 0.25;
const RETRY_SAVE: f64 = 10.0;
/// Safety margin before the window in which repeats are dropped closes.
const WINDOW_MARGIN: Micros = 50_000;
/// Share of the objective that a request may wait for a first server to be known.
const HOLD: f64 = 0.5;
/// Work that carries no hint is not started with less time than this share of a usual service.
const LEAST_WORK: f64 = 0.5;
/// A fleet of which more than this share is busy serves more by taking only sure work: in the end, what is
/// expected within this share of the time left, times what it earns for its work against a usual request;
/// the share falls by the last figure as all is turned away. Chosen over loads from 0.7 to 1.2 of capacity.
const BUSY: f64 = 0.8;
const IN_TIME_BUSY: f64 = 0.6;
const IN_TIME_FULL: f64 = 0.25;
/// Where servers report no load, strain stands in: the mean share of the objective that answers take, a
/// failure counting as all of it. Above the first figure a part is refused, all of it this much higher; the
/// least worth goes first. Forgotten by half in this time, so that some work always finds out.
const STRAIN: f64 = 0.32;
const STRAIN_SPAN: f64 = 0.35;
const STRAIN_WEIGHT: f64 = 0.1;
const STRAIN_HALF: f64 = 3_000_000.0;
/// First pause before the list is asked for again, and its growth, up to half the time allowed. Guards
/// against many balancers that keep a full discovery full: it handles a few calls a second, whoever asks.
const REASK: Micros = 200_000;
const REASK_GROWTH: Micros = 3;

impl Balancer {
    /// A balancer that knows nothing yet.
    ///
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let first = settings.classes.iter().map(|c| c.objective).min().unwrap_or(1) as f64;
        let mut new = Self::blank(settings, seed);
        new.log_mean = (first / 4.0).ln();
        new.log_var = 1.0;
        new.unit = first / 8.0;
        new.busy = 0.5;
        new.budget = RETRY_SAVE / 2.0;
        new.reask = REASK;
        Ok(new)
    }

    /// Takes in one event and pushes what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, acts: &mut Actions) {
        self.now = self.now.max(now);
        if !self.started {
            self.started = true;
            self.next_probe = now + self.rng.u64(0..PROBE_PERIOD);
            acts.push(Action::Timer { token: TOKEN_TICK, after: TICK });
            if self.settings.list_on_request {
                self.ask(acts);
            }
        }
        match event {
            Event::Members { kind, version, entries } => self.on_list(kind, version, entries, acts),
            Event::Request(call) => self.on_request(call, acts),
            Event::Started { request } => {
                self.requests.entry(request).and_modify(|r| r.streaming = true);
            }
            Event::Outcome(end) => self.on_outcome(end, acts),
            Event::Dropped { request } => self.finish(request, acts),
            Event::Timer { token: TOKEN_TICK } => self.on_tick(acts),
            Event::Timer { .. } => self.on_alarm(acts),
            Event::Probed { server, outcome, report } => {
                self.on_probed(server, outcome == Outcome::Served, report, acts);
            }
            Event::Peer { from, message } => self.on_peer(from, &message, acts),
        }
    }

    // Members and suspicion.

    fn find(&self, id: ServerId) -> Option<usize> {
        self.places.get(&id).copied()
    }

    fn on_tick(&mut self, acts: &mut Actions) {
        let now = self.now;
        acts.push(Action::Timer { token: TOKEN_TICK, after: TICK });
        for i in 0..self.servers.len() {
            self.watch(i, acts);
        }
        if self.settings.probes && now >= self.next_probe {
            self.next_probe = now + self.probe_pause();
            self.last_probe = now;
            if let Some(i) = self.next_to_probe() {
                self.probe(i, acts);
                self.servers[i].glance = false;
            }
            self.send_gossip(acts);
        }
        if self.ask_at.is_some_and(|at| now >= at) {
            self.ask(acts);
        }
    }

    /// Own requests a microsecond, above zero.
    fn rate(&self) -> f64 {
        self.traffic.get(self.now, TRAFFIC_HALF).max(f64::MIN_POSITIVE)
    }

    /// Guards against probes that together cost more than they tell: one schedule serves them all.
    fn probe_pause(&self) -> Micros {
        let affordable = (self.settings.probe_fee / (PROBE_COST * self.rate())) as Micros;
        let period = affordable.clamp(PROBE_PERIOD, PROBE_PERIOD_MOST);
        let suspected = self.servers.iter().any(|s| s.suspicion.is_some());
        if suspected { period / PROBE_HASTE } else { period }
    }

    /// By turns the suspect that waits longest and one whose attempt failed, else a random ready one.
    fn next_to_probe(&mut self) -> Option<usize> {
        let due = |s: &Server| s.suspicion.is_some() && self.now >= s.probed + SUSPECT_PROBE;
        let suspects = (0..self.servers.len()).filter(|&i| due(&self.servers[i]));
        let suspect = suspects.min_by_key(|&i| self.servers[i].probed);
        // Guards against suspects that wait for ever where attempts fail all the time.
        self.suspects_turn = !self.suspects_turn;
        if suspect.is_some() && self.suspects_turn {
            return suspect;
        }
        if let Some(i) = self.probe_next.pop().and_then(|id| self.find(id)) {
            return Some(i);
        }
        let pool = self.pool(Reach::Anywhere, &[], true);
        self.rng.choice(pool)
    }

    /// Makes a server the next to be probed, and soon.
    fn probe_soon(&mut self, id: ServerId) {
        if !self.probe_next.contains(&id) {
            self.probe_next.push(id);
            let soon = self.last_probe + PROBE_PERIOD / PROBE_HASTE;
            self.next_probe = self.next_probe.min(soon.max(self.now));
        }
    }

    fn watch(&mut self, i: usize, acts: &mut Actions) {
        let now = self.now;
        let server = &mut self.servers[i];
        if server.confirm.is_some_and(|at| now >= at) {
            server.confirm = None;
            if self.settings.has_peers() {
                let gossip = !server.reached;
                if self.suspect(i, Cause::Probe, acts) && gossip {
                    self.spread(i);
                }
            } else {
                server.reached = false;
                self.probe(i, acts);
            }
            return;
        }
        match server.suspicion {
            Some(suspicion) => {
                if !server.dead && now >= suspicion.since + DEAD_AFTER {
                    server.dead = true;
                    acts.push(Action::Log { text: "dead".into(), server: Some(server.member.server) });
                }
                let lie = suspicion.cause != Cause::Work && self.probes_lie();
                if lie || !self.settings.probes && now >= suspicion.since + suspicion.hold {
                    self.clear(i, acts);
                }
            }
            None => {
                // Guards against servers that answer probes but not work: all that is out there is silent for
                // longer than the fleet's latencies explain. General slowness raises no suspicion.
                let silent = |o: &Outstanding| now.saturating_sub(o.sent.max(server.served)).max(1) as f64;
                let z = |o: &Outstanding| (silent(o).ln() - self.log_mean) / self.log_var.sqrt();
                let sum: f64 = server.own.iter().map(|o| surprise(z(o))).sum();
                if sum > SURPRISE {
                    self.suspect(i, Cause::Work, acts);
                }
            }
        }
    }

    fn probe(&mut self, i: usize, acts: &mut Actions) {
        let server = &mut self.servers[i];
        if self.settings.probes && server.probing.is_none() {
            server.probing = Some(self.now);
            server.probed = self.now;
            acts.push(Action::Probe { server: server.member.server });
        }
    }

    /// A probe out of turn. Guards against floods: its failure is not confirmed, the server waits its turn.
    fn glance(&mut self, i: usize, acts: &mut Actions) {
        self.servers[i].glance |= self.servers[i].probing.is_none();
        self.probe(i, acts);
    }

    fn on_probed(&mut self, id: ServerId, good: bool, report: Option<LoadReport>, acts: &mut Actions) {
        let Some(i) = self.find(id) else { return };
        self.take_report(i, report);
        let (now, server) = (self.now, &mut self.servers[i]);
        server.probing = None;
        let was_mute = std::mem::replace(&mut server.mute, !good);
        self.mute = self.mute + usize::from(!good) - usize::from(was_mute);
        let glance = std::mem::take(&mut server.glance);
        for asker in std::mem::take(&mut server.askers).into_iter().filter(|_| good) {
            acts.push(Action::Tell { to: Some(asker), message: say(SAY_REACHED, server) });
        }
        if good {
            (server.confirm, server.reached) = (None, true);
            if let Some(suspicion) = server.suspicion {
                // A good probe proves little where work raised the suspicion: it must age first.
                if suspicion.cause != Cause::Work || now >= suspicion.since + suspicion.hold {
                    self.clear(i, acts);
                }
            }
        } else if glance {
            self.probe_soon(id);
        } else if server.suspicion.is_none() && server.confirm.is_none() {
            let confirming = std::mem::replace(&mut server.reached, false);
            if self.settings.has_peers() || confirming {
                server.confirm = Some(now + CONFIRM_PAUSE);
                self.ask_peers(i, acts);
            } else {
                self.suspect(i, Cause::Probe, acts);
            }
        }
        self.looked_at(id, acts);
    }

    /// Guards against probes that fail while servers serve: then work alone is believed, and a deployment
    /// with reports does as one without. Servers that are really gone fail work as well.
    fn probes_lie(&self) -> bool {
        let mute = self.mute as f64;
        mute > 0.0 && mute > PROBES_LIE * (self.subset() as f64 + mute)
    }

    fn reports(&self) -> bool {
        self.looks() && !self.probes_lie()
    }

    /// True where a request may ask for load before it is sent. Guards against trust in reports that nobody
    /// fetches: where probes are dear, what is known of queues is seconds old, and answers have to tell.
    fn looks(&self) -> bool {
        self.settings.reports && self.settings.probes && self.settings.probe_fee <= LOOK_FEE
    }

    fn suspect(&mut self, i: usize, cause: Cause, acts: &mut Actions) -> bool {
        let lie = cause != Cause::Work && self.probes_lie();
        let turn = self.subset() as f64 / self.rate();
        let (now, server) = (self.now, &mut self.servers[i]);
        if server.suspicion.is_some() || lie {
            return false;
        }
        server.strikes = if now > server.struck + FORGET { 0 } else { server.strikes + 1 };
        server.struck = now;
        // A balancer so quiet that the server's turn comes later than the hold would learn nothing from it.
        let hold = ((WORK_HOLD << server.strikes.min(8)).max(turn as Micros)).min(WORK_HOLD_MOST);
        server.suspicion = Some(Suspicion { cause, since: now, hold });
        acts.push(Action::Log { text: cause.text().into(), server: Some(server.member.server) });
        // What is out there may be rescued elsewhere, where that is legal.
        let stuck: Vec<RequestId> = server.own.iter().map(|o| o.request).collect();
        for request in stuck {
            self.further(request, acts);
        }
        true
    }

    fn clear(&mut self, i: usize, acts: &mut Actions) {
        let (now, server) = (self.now, &mut self.servers[i]);
        let Some(suspicion) = server.suspicion.take() else { return };
        server.failures = 0;
        // Guards against restarts that the list is silent about: what comes back from silence is cold.
        if suspicion.cause != Cause::Work && now > suspicion.since + 2 * SUSPECT_PROBE {
            server.cold_since = Some(now);
        }
        server.dead = false;
        server.reached = true;
        acts.push(Action::Log { text: "cleared".into(), server: Some(server.member.server) });
    }

    fn random_peer(&mut self) -> Option<u32> {
        let peer = self.settings.has_peers().then(|| self.rng.u32(0..self.settings.balancers - 1))?;
        Some(if peer >= self.settings.index { peer + 1 } else { peer })
    }

    fn ask_peers(&mut self, i: usize, acts: &mut Actions) {
        for _ in 0..INTERMEDIATES {
            let to = self.random_peer();
            if to.is_some() {
                acts.push(Action::Tell { to, message: say(SAY_ASK, &self.servers[i]) });
            }
        }
    }

    /// Gossips the suspicion of a server about log N times.
    fn spread(&mut self, i: usize) {
        let times = u32::BITS - self.settings.balancers.leading_zeros() + 1;
        self.gossip.add(say(SAY_SUSPECT, &self.servers[i]), times);
    }

    /// One message to a random peer with each own probe, however much is suspected.
    fn send_gossip(&mut self, acts: &mut Actions) {
        let to = self.random_peer();
        if to.is_none() || self.gossip.is_empty() {
            return;
        }
        acts.push(Action::Tell { to, message: self.gossip.next(GOSSIP_LINES) });
    }

    fn on_peer(&mut self, from: u32, message: &[u8], acts: &mut Actions) {
        if from >= self.settings.balancers {
            return;
        }
        for (what, name, incarnation) in unpack(message) {
            let named = |s: &Server| s.member.fingerprint == name;
            let Some(i) = self.servers.iter().position(named) else { continue };
            let (now, server) = (self.now, &mut self.servers[i]);
            let id = server.member.server;
            match what {
                SAY_ASK if server.askers.len() < INTERMEDIATES => {
                    server.askers.push(from);
                    self.glance(i, acts);
                }
                SAY_REACHED => server.reached = true,
                SAY_SUSPECT if incarnation >= server.incarnation() && server.suspicion.is_none() => {
                    // One mistaken peer must not empty the fleet: own served work outweighs it.
                    let doubt = now < server.served + GOSSIP_DOUBT;
                    if !doubt && self.suspect(i, Cause::Gossip, acts) {
                        self.spread(i);
                    }
                    self.probe_soon(id);
                }
                _ => {}
            }
        }
    }

    /// A newer start time: alive for it overrides suspicion of anything older.
    fn reborn(&mut self, i: usize, acts: &mut Actions) {
        let now = self.now;
        let server = &mut self.servers[i];
        let launched = server.member.launched.unwrap_or(0);
        let flapping = server.strikes > 0 && now < server.struck + FORGET;
        (server.drained, server.foreign) = (false, 0.0);
        if now < launched + self.settings.cold_time {
            server.cold_since = Some(launched.min(now));
        }
        // A server that keeps restarting does not earn trust by its new start time alone.
        if !flapping {
            self.clear(i, acts);
        }
    }

    // Picking.

    fn is_ready(&self, server: &Server) -> bool {
        let listed = server.member.condition == Condition::Ready || self.settings.only_draining_binds;
        listed && !server.drained
    }

    /// Guards against more connections than servers accept: each balancer uses the first so many of an order
    /// of its own, and goes further down where these are suspected.
    fn subset(&self) -> usize {
        let (fleet, balancers) = (self.servers.len() as f64, f64::from(self.settings.balancers));
        // Guards against handshakes: connections that rarely serve are closed before they serve again,
        // and what all balancers open for rare use is what servers run out of.
        if self.settings.handshake_fee > HANDSHAKE_FEE {
            let kept = self.rate() * self.settings.idle_close as f64 / SUBSET_KEEP;
            return kept.max(SUBSET_DEAR).min(fleet).ceil() as usize;
        }
        let fee = (self.settings.connection_fee * balancers).max(f64::MIN_POSITIVE);
        let affordable = (SUBSET_COST * 100.0 * fleet / fee).clamp(SUBSET_LEAST, SUBSET_MOST);
        let own = self.rate() * 1e6 * SUBSET_TRAFFIC;
        affordable.max(own).min(fleet).ceil() as usize
    }

    /// The order: random, the same at every list, and each cell once before any comes twice.
    fn arrange(&mut self) {
        self.mute = self.servers.iter().filter(|s| s.mute).count();
        self.places = self.servers.iter().enumerate().map(|(i, s)| (s.member.server, i)).collect();
        let own = u64::from(self.settings.index) << 32;
        let hash = |s: &Server| fastrand::Rng::with_seed(s.member.fingerprint ^ own).u64(..);
        let mut order: Vec<_> = self.servers.iter().enumerate().map(|(i, s)| (hash(s), i)).collect();
        order.sort_unstable();
        self.order = order.into_iter().map(|(_, i)| i).collect();
        let mut turns = BTreeMap::new();
        self.order.sort_by_cached_key(|&i| {
            let turn = turns.entry(self.servers[i].member.cell).or_insert(0);
            *turn += 1;
            *turn
        });
    }

    /// The servers of this balancer's part of the fleet that may be drawn now.
    fn pool(&mut self, reach: Reach, avoid: &[ServerId], open: bool) -> Vec<usize> {
        let fits = |&i: &usize| {
            let server = &self.servers[i];
            let open = !open || (server.suspicion.is_none() && !server.doubted);
            let tried = avoid.contains(&server.member.server);
            open && !tried && reach.holds(&server.member) && self.is_ready(server)
        };
        let part: Vec<usize> = self.order.iter().copied().filter(fits).take(self.subset()).collect();
        part.into_iter().filter(|&i| self.admits(i)).collect()
    }

    fn take_report(&mut self, i: usize, report: Option<LoadReport>) {
        let server = &mut self.servers[i];
        // Guards against reports that are frozen or wrong: one that owns up to less than we know to be there.
        let known = server.own.iter().filter(|o| Some(o.sent) < server.probing).count() as f64;
        let sound = |h: &f64| h.is_finite() && *h >= 0.0 && *h + 0.5 >= known;
        let Some(held) = report.map(|r| r.held).filter(sound) else { return };
        (server.foreign, server.foreign_at) = ((held - server.own.len() as f64).max(0.0), self.now);
        self.busy += MEAN_WEIGHT * (held.min(1.0) - self.busy);
    }

    /// Requests in flight, own ones and what was last seen of others', in the time that this server takes.
    fn load(&self, server: &Server) -> f64 {
        let age = self.now.saturating_sub(server.foreign_at) as f64;
        let fresh = (1.0 - age / (2.0 * self.unit)).max(0.0);
        let own: f64 = server.own.iter().map(|o| o.size).sum();
        (own + server.foreign * fresh + 1.0) * self.slowness(server)
    }

    /// How much longer than the fleet a server takes for the same load. Where no reports tell the queue of a
    /// cold one, it is spared by how seldom it is drawn, and not twice over.
    fn slowness(&self, server: &Server) -> f64 {
        let warmth = if self.reports() { self.warmth(server) } else { 1.0 };
        self.pace(server) / warmth / (1.0 - server.failing)
    }

    fn pace(&self, server: &Server) -> f64 {
        let usual = self.usual(server);
        usual + (server.pace - usual) * self.fade(server.pace_at, PACE_HALF)
    }

    /// The pace of a server's kind. Guards against learning that comes too late where a balancer sends each
    /// server next to nothing: what one server shows tells of all machines like it. Servers that are asked
    /// before a send speak for themselves.
    fn usual(&self, server: &Server) -> f64 {
        let machine = server.member.machine;
        if self.looks() {
            return 1.0;
        }
        self.kinds.get(&machine.kind).copied().unwrap_or(1.0 / machine.speed)
    }

    /// One of the servers; where they are not asked, each as often as its machine can do more than others.
    fn draw(&mut self, open: &[usize]) -> Option<usize> {
        if self.looks() {
            return self.rng.choice(open).copied();
        }
        let part = |&i: &usize| {
            let server = &self.servers[i];
            // A failure costs the whole request, so a server that fails gets less than what is left of it.
            server.member.machine.cores * (1.0 - server.failing).powi(3) / self.pace(server)
        };
        let parts: Vec<f64> = open.iter().map(part).collect();
        let mut at = self.rng.f64() * parts.iter().sum::<f64>();
        let place = parts.iter().position(|part| {
            at -= part;
            at < 0.0
        });
        place.map_or_else(|| open.last(), |place| open.get(place)).copied()
    }

    /// What two drawn servers are compared by: where they are not asked, what is known to be out, against
    /// what the machine can do, as its share of the draws stands for the rest already.
    fn fill(&self, server: &Server) -> f64 {
        let load = self.load(server);
        if self.looks() { load } else { (load - self.slowness(server)) / server.member.machine.cores }
    }

    /// Two random servers of the open ones; the one with less in flight wins. Where servers were asked for
    /// their load, the draw is among those that said least since; one that said nothing is passed over.
    fn pick(&mut self, reach: Reach, avoid: &[ServerId], asked: &[ServerId], since: Micros) -> Option<usize> {
        let fresh = |&i: &usize| {
            let server = &self.servers[i];
            server.foreign_at >= since && server.suspicion.is_none() && self.is_ready(server)
        };
        let mut open: Vec<usize> = asked.iter().filter_map(|&id| self.find(id)).filter(fresh).collect();
        let least = open.iter().map(|&i| self.load(&self.servers[i])).fold(f64::MAX, f64::min);
        // Where probes lie, a server that says it is idle is taken at its word, but no other for its silence.
        let unknown = if self.probes_lie() { 1.0 + self.busy } else { f64::MAX };
        open.retain(|&i| self.load(&self.servers[i]) < unknown.min(least + 0.25));
        if open.is_empty() {
            open = self.pool(reach, avoid, true);
        }
        if open.is_empty() {
            open = self.pool(reach, avoid, false);
        }
        let (a, b) = (self.draw(&open)?, self.draw(&open)?);
        // A cold server looks idle to all at once: it is taken where drawn first, never for its low load.
        let cold = [a, b].iter().any(|&i| self.servers[i].cold_since.is_some());
        let fill = |i: usize| self.fill(&self.servers[i]);
        let less = !(cold && asked.is_empty()) && fill(b) < fill(a);
        Some(if less { b } else { a })
    }

    // Attempts.

    fn on_request(&mut self, call: Call, acts: &mut Actions) {
        let now = self.now;
        let Some(class) = self.settings.classes.get(usize::from(call.class.0)) else {
            acts.push(Action::Refuse { request: call.id, retry_after: None });
            return;
        };
        let hint = call.size_hint.unwrap_or(0) as f64;
        if hint > 0.0 {
            let first = if self.mean_size > 0.0 { self.mean_size } else { hint };
            self.mean_size = first + MEAN_WEIGHT * (hint.min(4.0 * first) - first);
        }
        let first = if self.mean_worth > 0.0 { self.mean_worth } else { class.worth };
        self.mean_worth = first + MEAN_WEIGHT * (class.worth - first);
        self.traffic.count(now, TRAFFIC_HALF);
        let size = if hint > 0.0 { hint / self.mean_size } else { 1.0 };
        let objective = class.objective + (class.stretch * hint) as Micros;
        let request = Request {
            class: call.class,
            arrived: now,
            aim: now + objective.min(class.deadline).min(call.time_left),
            give_up: now + call.time_left,
            size,
            ..Request::default()
        };
        let needed = if hint > 0.0 { hint } else { self.unit * LEAST_WORK };
        let hopeless = class.late_value == 0.0 && needed > (request.aim - now) as f64;
        self.requests.insert(call.id, request);
        self.budget = (self.budget + RETRY_EARN).min(RETRY_SAVE);
        if hopeless || call.time_left == 0 {
            self.end(call.id, acts);
            return;
        }
        if self.looks() {
            self.look(call.id, acts);
        } else {
            self.dispatch(call.id, acts);
        }
    }

    /// Asks a few random servers for their load, which own requests tell little of where others send too.
    fn look(&mut self, id: RequestId, acts: &mut Actions) {
        let mut open = self.pool(Reach::Anywhere, &[], true);
        self.rng.shuffle(&mut open);
        let looks = LOOKS_MISS.ln() / self.busy.clamp(0.01, 0.99).ln();
        open.truncate(looks.clamp(2.0, LOOKS) as usize);
        let names: Vec<ServerId> = open.iter().map(|&i| self.servers[i].member.server).collect();
        open.into_iter().for_each(|i| self.glance(i, acts));
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.asked = names.clone();
        request.looking = names;
        // Guards against answers that are overdue because the client had less time than the asking takes.
        let wait = ((request.aim - request.arrived) as f64 * LOOK_WAIT) as Micros;
        if request.looking.is_empty() {
            self.dispatch(id, acts);
        } else {
            self.alarm(id, wait, acts);
        }
    }

    fn looked_at(&mut self, server: ServerId, acts: &mut Actions) {
        let waiting = self.requests.iter_mut().filter(|(_, r)| r.looking.contains(&server));
        let mut done = Vec::new();
        for (&id, request) in waiting {
            request.looking.retain(|&s| s != server);
            if request.looking.is_empty() {
                done.push(id);
            }
        }
        done.into_iter().for_each(|id| self.dispatch(id, acts));
    }

    fn alarm(&mut self, id: RequestId, after: Micros, acts: &mut Actions) {
        let at = self.now + after;
        if let Some(request) = self.requests.get_mut(&id) {
            request.alarm = at;
        }
        self.alarms.insert((at, id));
        acts.push(Action::Timer { token: TOKEN_ALARM, after });
    }

    fn on_alarm(&mut self, acts: &mut Actions) {
        while let Some(&(at, id)) = self.alarms.first().filter(|a| a.0 <= self.now) {
            self.alarms.remove(&(at, id));
            let held = |r: &&mut Request| r.alarm == at && r.attempts.is_empty();
            if let Some(request) = self.requests.get_mut(&id).filter(held) {
                request.looking.clear();
                self.dispatch(id, acts);
            }
        }
    }

    fn dispatch(&mut self, id: RequestId, acts: &mut Actions) {
        let Some(request) = self.requests.get(&id) else { return };
        let (arrived, give_up, asked) = (request.arrived, request.give_up, request.asked.clone());
        let patience = ((request.aim - arrived) as f64 * HOLD) as Micros;
        let picked = self.pick(Reach::Anywhere, &[], &asked, arrived);
        let late = picked.is_some_and(|i| self.too_late(i, id));
        self.turned += MEAN_WEIGHT * (f64::from(u8::from(late)) - self.turned);
        match picked {
            Some(i) if !late && !self.sheds(id) => self.send(id, i, acts),
            None if self.now + 2 * TICK < give_up.min(arrived + patience) => self.alarm(id, TICK, acts),
            _ => self.end(id, acts),
        }
    }

    fn send(&mut self, id: RequestId, i: usize, acts: &mut Actions) {
        let now = self.now;
        let load = self.load(&self.servers[i]) / self.slowness(&self.servers[i]);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = &self.settings.classes[usize::from(request.class.0)];
        let server = &mut self.servers[i];
        // A late answer that is worth nothing is not waited for.
        let aim = request.aim.saturating_sub(2 * self.settings.step);
        let until = if class.late_value == 0.0 { aim.min(request.give_up) } else { request.give_up };
        let timeout = until.saturating_sub(now).max(1);
        acts.push(Action::Send { request: id, server: server.member.server, timeout: Some(timeout) });
        let attempt = request.attempts.len() as u32;
        let (zone, cell, fate) = (server.member.zone, server.member.cell, Fate::Out);
        request.attempts.push(Attempt { server: server.member.server, sent: now, zone, cell, fate });
        let size = request.size;
        server.own.push(Outstanding { request: id, attempt, sent: now, size, load });
    }

    fn on_outcome(&mut self, end: AttemptEnd, acts: &mut Actions) {
        if let Some(i) = self.find(end.server) {
            self.learn(i, &end, acts);
        }
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        if let Some(attempt) = request.attempts.get_mut(end.attempt as usize) {
            attempt.fate = if end.outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        }
        if end.finished {
            self.finish(end.request, acts);
            return;
        }
        if request.attempts.iter().any(|a| a.fate == Fate::Out) {
            return;
        }
        if !self.further(end.request, acts) {
            self.end(end.request, acts);
        }
    }

    fn learn(&mut self, i: usize, end: &AttemptEnd, acts: &mut Actions) {
        self.take_report(i, end.report);
        let (now, server) = (self.now, &mut self.servers[i]);
        let own = server.own.iter().position(|o| (o.request, o.attempt) == (end.request, end.attempt));
        let Some(own) = own.map(|at| server.own.swap_remove(at)) else { return };
        let elapsed = now.saturating_sub(own.sent) as f64;
        match end.outcome {
            Outcome::Served => {
                (server.served, server.failures) = (now, 0);
                server.failing -= PACE_WEIGHT * server.failing;
                self.learn_latency(i, elapsed, &own);
                self.errors -= FAILURE_WEIGHT * self.errors;
                self.clear(i, acts);
            }
            Outcome::TimedOut if server.suspicion.is_none() && server.served > own.sent => {
                self.learn_latency(i, elapsed, &own);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Rejected => {
                // A full server is no broken one, but it holds more than we knew.
                server.foreign = server.foreign.max(own.load + 1.0);
                server.foreign_at = now;
                // Guards against a drain that the list cannot tell, which binds all the same after a time.
                server.doubted = self.settings.list_on_request && !self.subscribed;
                self.feel(1.0);
            }
            _ => {
                // Guards against fast failures that look idle, and dead processes; yet failures that are
                // spread over the servers are bad requests, or the network's. A run at one counts once there.
                server.failures += 1;
                server.failing += PACE_WEIGHT * (FAILING_MOST - server.failing);
                let count = server.failures;
                if count == 1 && end.outcome != Outcome::TimedOut {
                    self.errors += FAILURE_WEIGHT * (1.0 - self.errors);
                }
                let usual = self.errors.max(FAILURE_RATE);
                self.probe_soon(end.server);
                if f64::from(count) * -usual.ln() >= FAILURES && end.outcome != Outcome::TimedOut {
                    self.suspect(i, Cause::Work, acts);
                }
            }
        }
    }

    /// Moves the latencies of the fleet, and the pace of the server against them.
    fn learn_latency(&mut self, i: usize, elapsed: f64, own: &Outstanding) {
        if let Some(request) = self.requests.get(&own.request) {
            self.feel((elapsed / (request.aim - request.arrived) as f64).min(1.0));
        }
        let unit = elapsed / (own.load - 1.0 + own.size).max(0.2);
        let pace = (unit / self.unit).clamp(0.25, 4.0);
        let old = self.pace(&self.servers[i]);
        let server = &mut self.servers[i];
        (server.pace, server.pace_at) = (old + PACE_WEIGHT * (pace - old), self.now);
        let (machine, usual) = (self.servers[i].member.machine, self.usual(&self.servers[i]));
        self.kinds.insert(machine.kind, usual + MEAN_WEIGHT * (pace - usual));
        self.unit += MEAN_WEIGHT * (unit.min(4.0 * self.unit) - self.unit);
        let off = elapsed.max(1.0).ln() - self.log_mean;
        self.log_mean += MEAN_WEIGHT * off;
        self.log_var = (self.log_var + MEAN_WEIGHT * (off * off - self.log_var)).max(0.1);
    }

    fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[usize::from(request.class.0)]
    }

    /// Where a further attempt of a request may go now, if anywhere: the one judge of legality.
    fn legal(&self, request: &Request) -> Option<Reach> {
        let class = self.class(request);
        let out = request.attempts.iter().any(|a| a.fate == Fate::Out);
        if request.streaming
            || request.attempts.len() >= self.settings.max_attempts as usize
            || self.now >= request.give_up
            || (out && !self.settings.hedging)
        {
            return None;
        }
        let Some(first) = request.attempts.iter().find(|a| a.fate != Fate::NeverRan) else {
            return Some(Reach::Anywhere);
        };
        match class.semantics {
            Semantics::Pure => Some(Reach::Anywhere),
            Semantics::SideEffect => None,
            Semantics::Keyed if self.now + WINDOW_MARGIN >= first.sent + class.window => None,
            Semantics::Keyed => Some(match class.scope {
                Scope::All => Reach::Anywhere,
                Scope::Zone => Reach::Zone(first.zone),
                Scope::Cell => Reach::Cell(first.cell),
            }),
        }
    }

    /// Sends a request once more, as a retry or a rescue, where it is legal, useful and affordable.
    fn further(&mut self, id: RequestId, acts: &mut Actions) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(reach) = self.legal(request) else { return false };
        let out = request.attempts.iter().filter(|a| a.fate == Fate::Out).count();
        let ran = request.attempts.iter().any(|a| a.fate != Fate::NeverRan);
        let cost = if ran { 1.0 } else { RETRY_UNRUN };
        // Guards against attempts that end as they begin: a late answer worth nothing is not waited for.
        let class = self.class(request);
        let over = class.late_value == 0.0 && self.now + 2 * self.settings.step >= request.aim;
        if out > 1 || over || self.budget < cost {
            return false;
        }
        let tried: Vec<ServerId> = request.attempts.iter().map(|a| a.server).collect();
        let Some(i) = self.pick(reach, &tried, &[], self.now) else { return false };
        let server = &self.servers[i];
        let unsure = server.suspicion.is_some() || server.doubted || server.cold_since.is_some();
        if unsure || self.too_late(i, id) {
            return false;
        }
        self.budget -= cost;
        self.send(id, i, acts);
        true
    }

    /// Forgets a request that has its final answer and calls off what is still out for it.
    fn finish(&mut self, id: RequestId, acts: &mut Actions) {
        let Some(request) = self.requests.remove(&id) else { return };
        if !self.settings.cancel || request.streaming {
            return;
        }
        let out = request.attempts.iter().zip(0..).filter(|(a, _)| a.fate == Fate::Out);
        acts.extend(out.map(|(_, attempt)| Action::Cancel { request: id, attempt }));
    }

    // Refusals.

    /// True where a server would answer too late for the answer to be worth anything.
    fn too_late(&self, i: usize, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return true };
        let class = self.class(request);
        if class.late_value > 0.0 || !self.reports() {
            return false;
        }
        let server = &self.servers[i];
        let ahead = self.load(server) - self.slowness(server);
        let expected = (ahead + request.size * self.slowness(server)) * self.unit;
        let in_time = IN_TIME_BUSY - IN_TIME_FULL * self.turned;
        let share = 1.0 - self.strictness() * (1.0 - in_time * self.gain(request)).max(0.0);
        ahead >= 0.5 && expected > share * request.aim.saturating_sub(self.now) as f64
    }

    /// Worth for the work of a request, against that of a usual one: in a full fleet what earns little for
    /// its work must not fill the queues that what earns more would still have passed in time.
    fn gain(&self, request: &Request) -> f64 {
        if self.mean_size == 0.0 {
            return 1.0;
        }
        self.class(request).worth / request.size / self.mean_worth.max(f64::MIN_POSITIVE)
    }

    /// Guards against queues that all balancers fill together, which none of them sees, nor counts in its own
    /// few requests: refuses at random as much as the strain asks for.
    fn sheds(&mut self, id: RequestId) -> bool {
        let Some(class) = self.requests.get(&id).map(|r| self.class(r)) else { return true };
        if self.reports() || class.late_value > 0.0 {
            return false;
        }
        let worths = || self.settings.classes.iter().map(|c| c.worth);
        let (least, most) = (worths().fold(f64::MAX, f64::min), worths().fold(0.0, f64::max));
        let rank = (class.worth - least) / (most - least).max(f64::MIN_POSITIVE);
        self.rng.f64() < 2.0 * (self.strain() - STRAIN) / STRAIN_SPAN - rank
    }

    fn strain(&self) -> f64 {
        self.strain * self.fade(self.strain_at, STRAIN_HALF)
    }

    fn feel(&mut self, share: f64) {
        let old = self.strain();
        (self.strain, self.strain_at) = (old + STRAIN_WEIGHT * (share - old), self.now);
    }

    fn strictness(&self) -> f64 {
        ((self.busy - BUSY) / (1.0 - BUSY)).clamp(0.0, 1.0)
    }

    /// May the client be told that trying again is harmless? The one judge of it.
    fn may_refuse(&self, request: &Request) -> bool {
        let class = self.class(request);
        let keyed_everywhere = class.semantics == Semantics::Keyed && class.scope == Scope::All;
        class.semantics == Semantics::Pure
            || keyed_everywhere
            || request.attempts.iter().all(|a| a.fate == Fate::NeverRan)
    }

    /// Gives up on a request, at once: a refusal where that is true, else a failure.
    fn end(&mut self, id: RequestId, acts: &mut Actions) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.may_refuse(request) {
            // A fleet that is busy throughout has no use for clients that are back at once.
            let most = self.settings.max_retry_after;
            let wait = (self.unit + self.strictness() * most as f64) * (0.75 + 0.5 * self.rng.f64());
            let retry_after = self.settings.retry_after.then(|| (wait as Micros).min(most));
            acts.push(Action::Refuse { request: id, retry_after });
        } else {
            acts.push(Action::Fail { request: id });
        }
        self.finish(id, acts);
    }

    // Drains and cold starts.

    /// Share of its capacity that a server is assumed to have: from the cold share up to all of it.
    fn warmth(&self, server: &Server) -> f64 {
        let Some(since) = server.cold_since else { return 1.0 };
        let age = self.now.saturating_sub(since) as f64 / self.settings.cold_time.max(1) as f64;
        (self.settings.cold_share + (1.0 - self.settings.cold_share) * age).min(1.0)
    }

    /// Guards against a cold server pushed over by all balancers together: it is admitted to a draw with the
    /// chance of its warmth. Nothing is saved up; together they send its warmth times a warm server's part.
    fn admits(&mut self, i: usize) -> bool {
        let warmth = self.warmth(&self.servers[i]);
        if warmth >= 1.0 {
            self.servers[i].cold_since = None;
        }
        warmth >= 1.0 || self.rng.f64() < warmth
    }

    // List following.

    fn ask(&mut self, acts: &mut Actions) {
        acts.push(Action::Subscribe);
        // Should no answer come at all, ask again in good time.
        self.ask_at = Some(self.now + self.settings.ask_every * 3 / 4);
    }

    fn on_list(&mut self, kind: ListKind, version: u64, entries: Vec<Member>, acts: &mut Actions) {
        if kind == ListKind::Lost {
            if self.subscribed {
                acts.push(Action::Log { text: "list lost".into(), server: None });
            }
            self.subscribed = false;
            self.ask_at = Some(self.now + self.reask / 2 + self.rng.u64(0..=self.reask));
            self.reask = (REASK_GROWTH * self.reask).min(self.settings.ask_every / 2);
            return;
        }
        if kind != ListKind::WarmCopy {
            (self.subscribed, self.reask, self.ask_at) = (true, REASK, None);
            self.servers.iter_mut().for_each(|s| s.doubted = false);
        }
        if version < self.version {
            return;
        }
        self.version = version;
        if kind != ListKind::Changes {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for server in self.servers.iter_mut().filter(|s| !named.contains(&s.member.server)) {
                server.member.condition = Condition::Gone;
            }
        }
        for entry in entries {
            self.on_entry(entry, acts);
        }
        let keep = self.settings.only_draining_binds;
        let gone = |s: &Server| s.member.condition == Condition::Gone && s.own.is_empty();
        self.servers.retain(|s| !gone(s) || (keep && !s.dead && !s.drained));
        self.arrange();
    }

    fn on_entry(&mut self, entry: Member, acts: &mut Actions) {
        let now = self.now;
        let Some(i) = self.find(entry.server) else {
            let fresh = entry.launched.filter(|&at| now < at + self.settings.cold_time);
            let cold_since = fresh.map(|at| at.min(now));
            self.places.insert(entry.server, self.servers.len());
            self.servers.push(Server { cold_since, ..Server::new(entry) });
            return;
        };
        let server = &mut self.servers[i];
        let newer = entry.launched.unwrap_or(0) > server.incarnation();
        let launched = if newer { entry.launched } else { server.member.launched };
        server.member = Member { launched, ..entry };
        if newer {
            self.reborn(i, acts);
        }
        // A stale list never restores a drain: only a newer start does.
        self.servers[i].drained |= entry.condition == Condition::Draining;
    }
}
