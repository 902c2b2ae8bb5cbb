//! A job server as a machine: cores, a queue, warm-up, slowdown, choking, failures. No I/O and no clock: both
//! engines hand the time in, so that the model and the stage's stand-ins are the same machine.
//!
//! All running requests progress alike. `progress` is the work that one core has done for a request that has run
//! all along; a request ends once it has grown by the request's work. Pauses, warm-up and slowdown change only
//! the speed at which it grows.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::chance::{Cause, Stream};
use crate::scenario::{Cancel, Day, Kind, Micros, Reports, Source, from_ms, from_s};

/// How finely a speed that changes by itself is followed.
const STEP: Micros = 50_000;
/// The load report is refreshed this often, as the site's are.
const REPORT: Micros = 3_000;

/// Work handed to a machine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Unique on this machine.
    pub id: u64,
    /// Work in microseconds of a standard core.
    pub work: f64,
    /// When nobody waits for it any more.
    pub until: Micros,
}

/// What a machine did by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// It began to run.
    Began(u64),
    /// It ran to its end; an error if so.
    Ended { id: u64, error: bool },
    /// It was dropped from the queue unseen.
    Dropped(u64),
    /// The cold machine was sent more than it bears and has fallen over.
    Fell,
}

/// What a probe is told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub inflight: usize,
    pub queue: usize,
    pub eps: f64,
}

/// What a machine has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Done {
    pub offered: u64,
    pub turned_away: u64,
    pub served: u64,
    pub errors: u64,
    pub dropped: u64,
    pub stopped: u64,
    pub probes: u64,
    pub probes_turned_away: u64,
    /// Work done, in microseconds of a standard core, whoever had use of it.
    pub work: f64,
    /// Most requests held at once.
    pub held_most: usize,
    /// Time spent choked.
    pub choked: Micros,
}

#[derive(Debug)]
struct Choking {
    since: Micros,
    calm: Option<Micros>,
}

/// How it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// Stands still; takes in and answers nothing until it goes on.
    Paused,
    Down,
}

/// A job server's machine.
#[derive(Debug)]
pub struct Machine {
    kind: Kind,
    speed: f64,
    state: State,
    at: Micros,
    progress: f64,
    running: BTreeMap<(u64, u64), Micros>,
    ends: HashMap<u64, u64>,
    queue: VecDeque<Job>,
    /// Work that has to be done beside the requests.
    debt: f64,
    slower: f64,
    error_rate: f64,
    cold_since: Option<Micros>,
    served_cold: u64,
    crowded: Option<Micros>,
    choking: Option<Choking>,
    connections: usize,
    probe_tokens: f64,
    probe_at: Micros,
    errors: VecDeque<Micros>,
    report: (Micros, Report),
    /// How answers tell of load, and what was held when that was last taken.
    tells: Reports,
    taken: VecDeque<(Micros, usize)>,
    /// What was sent lately, while cold: time and work.
    pressure: VecDeque<(Micros, f64)>,
    fall: (f64, Micros),
    chance: Stream,
    /// Counts.
    pub done: Done,
}

impl Machine {
    /// A machine of a kind; `speed` as drawn for it, `fall` the multiple and span of the fourth rule.
    pub fn new(kind: Kind, speed: f64, fall: (f64, Micros), chance: Stream, now: Micros, cold: bool) -> Self {
        let (error_rate, probe_tokens) = (kind.error_rate, kind.probes_per_s);
        Self {
            kind,
            speed,
            state: State::Up,
            at: now,
            progress: 0.0,
            running: BTreeMap::new(),
            ends: HashMap::new(),
            queue: VecDeque::new(),
            debt: 0.0,
            slower: 1.0,
            error_rate,
            cold_since: cold.then_some(now),
            served_cold: 0,
            crowded: None,
            choking: None,
            connections: 0,
            probe_tokens,
            probe_at: now,
            errors: VecDeque::new(),
            report: (0, Report::default()),
            tells: Reports::default(),
            taken: VecDeque::new(),
            pressure: VecDeque::new(),
            fall,
            chance,
            done: Done::default(),
        }
    }

    /// The day's machine of that number, its speed drawn: the same in both engines.
    pub fn drawn(day: &Day, kind: &Kind, number: usize, now: Micros, cold: bool) -> Self {
        let mut chance = Stream::new(day.seed, Cause::Machines, number + 1);
        let speed = kind.speed * chance.between(1.0 - kind.speed_spread, 1.0 + kind.speed_spread);
        let fall = (day.rules.fall_multiple, from_ms(day.rules.fall_ms));
        let new = Self::new(kind.clone(), speed, fall, chance, now, cold);
        Self { tells: day.reports.clone(), ..new }
    }

    pub fn kind(&self) -> &Kind {
        &self.kind
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn held(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    pub fn is_cold(&self, now: Micros) -> bool {
        self.warmth(now) < 1.0
    }

    fn warmth(&self, now: Micros) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let by_time = now.saturating_sub(since) as f64 / from_s(self.kind.cold_s).max(1) as f64;
        let by_work = match self.kind.warm_requests {
            0 => 0.0,
            most => self.served_cold as f64 / most as f64,
        };
        (self.kind.cold_from + (1.0 - self.kind.cold_from) * by_time.max(by_work)).min(1.0)
    }

    /// Work it can do in a microsecond as it stands, trouble left aside: what the fourth rule is held against.
    pub fn capacity(&self, now: Micros) -> f64 {
        f64::from(self.kind.cores) * self.speed * self.warmth(now)
    }

    /// Requests that run at a time.
    fn slots(&self) -> usize {
        self.kind.slots.max(if self.kind.slots == 0 { self.kind.cores } else { 1 }) as usize
    }

    /// Growth of `progress` in a microsecond: requests beyond the cores share them.
    fn pace(&self, now: Micros) -> f64 {
        let sharing = f64::from(self.kind.cores) / (self.running.len().max(1) as f64);
        self.core_pace(now) * sharing.min(1.0)
    }

    /// What a core does in a microsecond.
    fn core_pace(&self, now: Micros) -> f64 {
        if self.state != State::Up {
            return 0.0;
        }
        let full = self.connections as f64 / self.kind.connections.max(1) as f64;
        let tax = 1.0 - self.kind.full_tax * full.min(1.0);
        let choke = self.kind.choke.as_ref().filter(|_| self.choking.is_some()).map_or(1.0, |c| c.slower);
        let beyond = (self.held() as f64 / f64::from(self.kind.cores) - self.kind.thrash_at).max(0.0);
        let thrash = 1.0 + self.kind.thrash * beyond;
        self.speed * self.warmth(now) * tax / choke / self.slower / thrash
    }

    fn changes_by_itself(&self, now: Micros) -> bool {
        self.is_cold(now) || self.crowded.is_some() || self.choking.is_some()
    }

    /// When something will happen here by itself; nothing while it idles or stands still.
    pub fn next(&self) -> Option<Micros> {
        if self.state != State::Up {
            return None;
        }
        let pace = self.pace(self.at);
        let end = self.running.first_key_value().map(|(&(bits, _), _)| {
            let rest = (f64::from_bits(bits) - self.progress).max(0.0);
            let debt = self.debt / f64::from(self.kind.cores) / self.core_pace(self.at).max(1e-9);
            self.at + ((rest / pace.max(1e-9) + debt).ceil() as Micros).max(1)
        });
        let step = (self.changes_by_itself(self.at) && self.held() > 0 || self.choking.is_some())
            .then_some(self.at + STEP);
        match (end, step) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Lets time pass up to `now` and tells what happened.
    pub fn advance(&mut self, now: Micros, events: &mut Vec<Event>) {
        while self.at < now {
            let pace = self.pace(self.at);
            let step = if self.changes_by_itself(self.at) { (self.at + STEP).min(now) } else { now };
            let mut span = (step - self.at) as f64;
            if pace <= 0.0 {
                self.at = step;
                continue;
            }
            // Debt is paid by all cores together before requests go on.
            let cores = f64::from(self.kind.cores);
            let core = self.core_pace(self.at);
            let paid = self.debt.min(span * core * cores);
            self.debt -= paid;
            span -= paid / core / cores;
            let first = self.running.first_key_value().map(|(&(bits, _), _)| f64::from_bits(bits));
            let reach = self.progress + span * pace;
            match first.filter(|&end| end <= reach + 1e-6) {
                Some(end) => {
                    let used = ((end - self.progress) / pace).max(0.0);
                    let idle = span - used;
                    let at = (step - (idle.max(0.0) as Micros).min(step - self.at)).max(self.at);
                    self.done.work += (end - self.progress).max(0.0) * self.running.len() as f64;
                    self.progress = end;
                    self.at = at;
                    self.end_first(events);
                }
                None => {
                    self.done.work += (reach - self.progress) * self.running.len() as f64;
                    self.progress = reach;
                    self.at = step;
                }
            }
            self.watch_crowd();
        }
    }

    fn end_first(&mut self, events: &mut Vec<Event>) {
        let Some(((_, id), _)) = self.running.pop_first() else { return };
        self.ends.remove(&id);
        let error = self.chance.chance(self.error_rate);
        if error {
            self.done.errors += 1;
            self.errors.push_back(self.at);
        } else {
            self.done.served += 1;
        }
        self.served_cold += 1;
        events.push(Event::Ended { id, error });
        self.fill(events);
    }

    fn fill(&mut self, events: &mut Vec<Event>) {
        if self.state != State::Up {
            return;
        }
        while self.running.len() < self.slots() {
            let Some(job) = self.queue.pop_front() else { return };
            if self.kind.drops_expired && job.until <= self.at {
                self.done.dropped += 1;
                events.push(Event::Dropped(job.id));
                continue;
            }
            let end = (self.progress + job.work.max(1.0)).to_bits();
            self.running.insert((end, job.id), self.at);
            self.ends.insert(job.id, end);
            events.push(Event::Began(job.id));
        }
    }

    fn watch_crowd(&mut self) {
        let Some(choke) = self.kind.choke.clone() else { return };
        let (now, held, cores) = (self.at, self.held() as f64, f64::from(self.kind.cores));
        if let Some(choking) = &mut self.choking {
            let calm = held < choke.below * cores;
            choking.calm = if calm { choking.calm.or(Some(now)) } else { None };
            let rested = choking.calm.is_some_and(|at| now >= at + from_s(choke.rest_s));
            if rested || now >= choking.since + from_s(choke.most_s) {
                self.done.choked += now - choking.since;
                self.choking = None;
                self.crowded = None;
            }
            return;
        }
        if held <= choke.at * cores {
            self.crowded = None;
        } else if now >= *self.crowded.get_or_insert(now) + from_s(choke.over_s) {
            self.choking = Some(Choking { since: now, calm: None });
        }
    }

    /// Takes in a request; false if it is turned away unseen. `now` must have been advanced to.
    pub fn offer(&mut self, now: Micros, job: Job, events: &mut Vec<Event>) -> bool {
        self.advance(now, events);
        self.done.offered += 1;
        if self.presses(now, job.work) {
            self.state = State::Down;
            events.push(Event::Fell);
            self.done.turned_away += 1;
            return false;
        }
        // A paused process reads nothing: what comes waits, as it would in its socket.
        let full = self.queue.len() >= self.kind.queue && self.running.len() >= self.slots();
        if self.state == State::Down || full {
            self.done.turned_away += 1;
            return false;
        }
        self.queue.push_back(job);
        self.fill(events);
        self.watch_crowd();
        self.done.held_most = self.done.held_most.max(self.held());
        true
    }

    /// True where a cold machine has been sent more within the span than the rule allows.
    fn presses(&mut self, now: Micros, work: f64) -> bool {
        if !self.is_cold(now) {
            self.pressure.clear();
            return false;
        }
        let (multiple, span) = self.fall;
        self.pressure.push_back((now, work));
        while self.pressure.front().is_some_and(|(at, _)| *at + span <= now) {
            self.pressure.pop_front();
        }
        let sent: f64 = self.pressure.iter().map(|(_, work)| work).sum();
        sent > budget(multiple, self.capacity(now), span, work)
    }

    /// Nobody waits for a request any more. True if it had not begun and never will.
    pub fn cancel(&mut self, now: Micros, id: u64, events: &mut Vec<Event>) -> bool {
        self.advance(now, events);
        if self.kind.cancel == Cancel::None {
            return false;
        }
        if let Some(at) = self.queue.iter().position(|j| j.id == id) {
            self.queue.remove(at);
            self.done.stopped += 1;
            self.watch_crowd();
            return true;
        }
        if self.kind.cancel == Cancel::All
            && let Some(end) = self.ends.remove(&id)
        {
            self.running.remove(&(end, id));
            self.done.stopped += 1;
            self.fill(events);
            self.watch_crowd();
        }
        false
    }

    /// Work beside the requests: a handshake.
    pub fn handshake(&mut self, now: Micros, events: &mut Vec<Event>) {
        self.advance(now, events);
        self.debt += self.kind.handshake_ms * 1_000.0;
    }

    /// A connection came or went; false if there is no room for one more.
    pub fn connect(&mut self) -> bool {
        let room = self.connections < self.kind.connections;
        self.connections += usize::from(room);
        room
    }

    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Answers a probe; nothing where it takes no more of them.
    pub fn probe(&mut self, now: Micros, events: &mut Vec<Event>) -> Option<Report> {
        self.advance(now, events);
        let rate = self.kind.probes_per_s;
        if rate > 0.0 {
            let passed = now.saturating_sub(self.probe_at) as f64 / 1e6;
            self.probe_tokens = (self.probe_tokens + passed * rate).min(rate.max(1.0));
            self.probe_at = now;
            if self.probe_tokens < 1.0 {
                self.done.probes_turned_away += 1;
                return None;
            }
            self.probe_tokens -= 1.0;
        }
        self.done.probes += 1;
        self.debt += self.kind.probe_ms * 1_000.0;
        if now >= self.report.0 + REPORT || self.report.0 == 0 {
            while self.errors.front().is_some_and(|at| *at + 1_000_000 <= now) {
                self.errors.pop_front();
            }
            let eps = self.errors.len() as f64;
            self.report = (now, Report { inflight: self.held(), queue: self.queue.len(), eps });
        }
        Some(self.report.1)
    }

    /// What an answer that goes out now tells of the requests held; nothing where answers don't tell.
    pub fn answer_report(&mut self, now: Micros) -> Option<usize> {
        if self.tells.source != Source::Answers {
            return None;
        }
        let (every, delay) = (from_ms(self.tells.every_ms), from_ms(self.tells.delay_ms));
        if self.taken.back().is_none_or(|(at, _)| now >= at + every) {
            self.taken.push_back((now, self.held()));
        }
        while self.taken.get(1).is_some_and(|(at, _)| now >= at + delay) {
            self.taken.pop_front();
        }
        self.taken.front().filter(|(at, _)| now >= at + delay).map(|(_, held)| *held)
    }

    /// Changes how it stands. Going down forgets all that is held; coming up is a cold start.
    pub fn set_state(&mut self, now: Micros, state: State, events: &mut Vec<Event>) {
        self.advance(now, events);
        let was = std::mem::replace(&mut self.state, state);
        match (was, state) {
            (State::Down, State::Up) => {
                self.cold_since = Some(now);
                (self.served_cold, self.debt, self.connections) = (0, 0.0, 0);
                (self.crowded, self.choking) = (None, None);
                self.pressure.clear();
                self.taken.clear();
            }
            (_, State::Down) => {
                self.running.clear();
                self.ends.clear();
                self.queue.clear();
            }
            _ => {}
        }
        self.fill(events);
    }

    /// Makes it so many times slower than usual.
    pub fn set_slower(&mut self, now: Micros, times: f64, events: &mut Vec<Event>) {
        self.advance(now, events);
        self.slower = times.max(1e-3);
    }

    /// Makes it fail this share of its requests; the kind's own share where nothing is said.
    pub fn set_errors(&mut self, share: Option<f64>) {
        self.error_rate = share.unwrap_or(self.kind.error_rate);
    }

    /// Time choked so far, a choking that goes on included.
    pub fn choked(&self) -> Micros {
        self.done.choked + self.choking.as_ref().map_or(0, |c| self.at.saturating_sub(c.since))
    }
}

/// Work that a cold server may be sent within the span of the fourth rule. The slack stands for chance: two
/// requests as large as the largest, as the rule is about load and not about one request's luck.
pub fn budget(multiple: f64, capacity: f64, span: Micros, largest: f64) -> f64 {
    multiple * capacity * span as f64 + 2.0 * largest
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Choke;

    fn machine(kind: Kind) -> Machine {
        let chance = Stream::new(1, Cause::Machines, 0);
        Machine::new(kind, 1.0, (2.5, 1_500_000), chance, 0, false)
    }

    fn plain() -> Kind {
        Kind { cores: 2, queue: 3, error_rate: 0.0, ..Kind::default() }
    }

    fn job(id: u64, work: f64) -> Job {
        Job { id, work, until: Micros::MAX }
    }

    fn ends(machine: &mut Machine, until: Micros) -> Vec<(u64, Micros)> {
        let (mut all, mut events) = (Vec::new(), Vec::new());
        while let Some(at) = machine.next().filter(|&at| at <= until) {
            machine.advance(at, &mut events);
            for event in events.drain(..) {
                if let Event::Ended { id, .. } = event {
                    all.push((id, at));
                }
            }
        }
        all
    }

    #[test]
    fn cores_share_nothing_and_the_queue_is_in_order_and_bounded() {
        let (mut machine, mut events) = (machine(plain()), Vec::new());
        let taken: Vec<bool> = (0..6).map(|id| machine.offer(0, job(id, 10_000.0), &mut events)).collect();
        assert_eq!(taken, [true, true, true, true, true, false]);
        let ends = ends(&mut machine, 1_000_000);
        assert_eq!(ends.iter().map(|e| e.0).collect::<Vec<_>>(), [0, 1, 2, 3, 4]);
        assert_eq!(ends.iter().map(|e| e.1 / 1_000).collect::<Vec<_>>(), [10, 10, 20, 20, 30]);
    }

    #[test]
    fn slowness_and_pauses_stretch_what_runs() {
        let (mut machine, mut events) = (machine(plain()), Vec::new());
        machine.offer(0, job(1, 10_000.0), &mut events);
        machine.set_slower(5_000, 2.0, &mut events);
        machine.set_state(10_000, State::Paused, &mut events);
        assert_eq!(machine.next(), None);
        machine.set_state(40_000, State::Up, &mut events);
        let ends = ends(&mut machine, 1_000_000);
        // 5 ms at full speed, 5 ms at half, 30 ms of pause, and 2.5 ms of work left at half speed.
        assert_eq!(ends.iter().map(|e| e.1 / 1_000).collect::<Vec<_>>(), [45]);
    }

    #[test]
    fn a_crowd_chokes_it_until_it_has_rested() {
        let choke = Choke { at: 2.0, over_s: 0.1, slower: 4.0, below: 0.6, rest_s: 0.2, most_s: 60.0 };
        let kind = Kind { cores: 1, queue: 100, choke: Some(choke), ..plain() };
        let (mut machine, mut events) = (machine(kind), Vec::new());
        assert!((0..20).all(|id| machine.offer(0, job(id, 20_000.0), &mut events)));
        let crowd = ends(&mut machine, 60_000_000);
        let last = crowd.last().map_or(0, |e| e.1);
        assert!(last > 1_200_000, "20 x 20 ms take 0.4 s unchoked, and took {last} us");
        assert!(machine.choked() > 0);
        machine.advance(last + 2_000_000, &mut events);
        machine.offer(last + 2_000_000, job(99, 20_000.0), &mut events);
        assert_eq!(ends(&mut machine, 60_000_000).last().map(|e| e.1 - last), Some(2_020_000));
    }

    #[test]
    fn requests_beyond_the_cores_share_them_and_a_crowd_slows_all() {
        let shared = Kind { slots: 8, queue: 9, ..plain() };
        let ends = |kind: Kind, count: u64| {
            let (mut machine, mut events) = (machine(kind), Vec::new());
            (0..count).for_each(|id| assert!(machine.offer(0, job(id, 10_000.0), &mut events)));
            let mut at = 0;
            while machine.held() > 0 {
                at = machine.next().expect("goes on");
                machine.advance(at, &mut events);
            }
            at
        };
        assert!(
            ends(shared.clone(), 2).abs_diff(10_000) <= 2 && ends(shared.clone(), 4).abs_diff(20_000) <= 2
        );
        let crowded = Kind { thrash: 0.5, thrash_at: 2.0, ..shared };
        // Eight at two cores are two a core beyond the bound: twice as slow as without it.
        assert!(ends(crowded, 8).abs_diff(80_000) <= 8);
    }

    #[test]
    fn answers_tell_what_was_held_a_while_ago() {
        let mut machine = machine(plain());
        machine.tells = Reports { source: Source::Answers, every_ms: 100.0, delay_ms: 50.0 };
        let mut events = Vec::new();
        assert_eq!(machine.answer_report(0), None, "nothing is old enough");
        machine.offer(1_000, job(1, 1e6), &mut events);
        assert_eq!(machine.answer_report(60_000), Some(0), "as of the start");
        assert_eq!(machine.answer_report(110_000), Some(0), "taken anew, not told yet");
        assert_eq!(machine.answer_report(170_000), Some(1));
    }

    #[test]
    fn a_cold_one_is_slow_warms_up_and_falls_over_when_pressed() {
        let kind = Kind { cold_from: 0.25, cold_s: 10.0, queue: 10_000, ..plain() };
        let (mut machine, mut events) = (machine(kind), Vec::new());
        machine.set_state(0, State::Down, &mut events);
        machine.set_state(0, State::Up, &mut events);
        machine.offer(0, job(1, 10_000.0), &mut events);
        assert_eq!(ends(&mut machine, 1_000_000).first().map(|e| e.1 / 1_000), Some(40));
        // 2.5 x (2 cores x 0.25) x 1.5 s are 1.875 s of work, and some for chance.
        let taken = (0..400).take_while(|id| machine.offer(50_000, job(10 + id, 10_000.0), &mut events));
        let taken = taken.count() as f64 * 0.01;
        assert!((1.8..2.0).contains(&taken), "{taken} s of work");
        assert!(events.contains(&Event::Fell));
        assert_eq!(machine.state(), State::Down);
    }

    #[test]
    fn calling_off_stops_what_waits_and_expired_work_is_not_begun() {
        let kind = Kind { cores: 1, queue: 10, ..plain() };
        let (mut machine, mut events) = (machine(kind), Vec::new());
        machine.offer(0, job(1, 10_000.0), &mut events);
        machine.offer(0, job(2, 10_000.0), &mut events);
        machine.offer(0, Job { until: 5_000, ..job(3, 10_000.0) }, &mut events);
        assert!(machine.cancel(1_000, 2, &mut events));
        assert!(!machine.cancel(1_000, 1, &mut events));
        assert_eq!(ends(&mut machine, 1_000_000).iter().map(|e| e.0).collect::<Vec<_>>(), [1]);
        assert_eq!((machine.done.dropped, machine.done.stopped), (1, 1));
    }
}
