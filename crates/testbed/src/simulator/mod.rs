//! The model: virtual time, one thread, no sockets. Real `arrowstand_balancer` balancers, one for each sidecar, against
//! machines, network, discovery and terminals as the scenario draws them up.
//!
//! Everything happens in the order of the queue, and chance comes from one stream for each cause, so the same
//! day and seed give the same record to the last entry.

mod client;
mod discovery;
mod event_queue;
pub mod faults;
mod server;
mod sidecar;

use slotmap::{SlotMap, new_key_type};

use crate::audit::Auditor;
use crate::event_log::{EventLog, LogEvent, LogRecord, RequestOutcome, Tee};
use crate::random::{RandomStream, StreamId};
use crate::report::Report;
use crate::scenario::{Micros, Scenario, from_ms, from_s};
use crate::server_model::Report as Load;
use crate::statistics::Statistics;
use crate::workload::{Arrival, ArrivalStream, TenantQuota, parts, quotas};

use client::Ask;
use discovery::Discovery;
use event_queue::Queue;
use server::Server;
use sidecar::Sidecar;

/// Where the module's clock stands when the day begins: start times count from here.
const EPOCH: Micros = 1_000_000_000_000;
/// How long after the last arrival the day is played on at most.
const REST_MOST: Micros = 120_000_000;

new_key_type! {
    struct TryKey;
    struct TaskKey;
    struct AskKey;
}

/// One try of a wish: a transaction.
struct Try {
    number: u64,
    ask: AskKey,
    sidecar: u32,
    life: u32,
    class: u16,
    /// Work in microseconds of a standard core.
    work: f64,
    hint: Option<Micros>,
    due: Micros,
    tasks: Vec<TaskKey>,
    /// The sidecar has given its final answer, which may still be on its way.
    answered: bool,
}

/// One routed task.
struct Task {
    of: TryKey,
    tx: u64,
    attempt: u32,
    sidecar: u32,
    server: u32,
    /// Unique on its machine.
    job: u64,
    sent: Micros,
    until: Micros,
    work: f64,
    /// One way to the job server.
    delay: Micros,
    /// It has a connection, and the job server's start that this belongs to.
    connection: Option<u32>,
    fresh: bool,
    /// Its last byte is written.
    written: bool,
    ended: bool,
    /// Its connection will break instead of bringing the answer.
    doomed: bool,
    /// What its answer tells of the load.
    report: Option<usize>,
}

/// How a routed task ended, as its sidecar sees it.
type Outcome = arrowstand_balancer::Outcome;

enum Happening {
    Arrival(u32, Arrival),
    Again(AskKey),
    Reached(TryKey),
    Timer {
        sidecar: u32,
        life: u32,
        token: u64,
    },
    Last(TryKey),
    GivenUp(TryKey),
    Leaves(TryKey),
    Told {
        of: TryKey,
        how: RequestOutcome,
        pause: u32,
    },
    Knocks(TaskKey),
    Connected(TaskKey),
    Arrives(TaskKey),
    Back(TaskKey, Outcome),
    Late(TaskKey),
    CalledOff {
        server: u32,
        start: u32,
        job: u64,
    },
    ServerModel {
        server: u32,
        turn: u32,
    },
    ProbeArrives {
        sidecar: u32,
        life: u32,
        server: u32,
        delay: u32,
        fresh: bool,
    },
    ProbeBack {
        sidecar: u32,
        life: u32,
        server: u32,
        outcome: Outcome,
        load: Option<(u32, u32)>,
    },
    List {
        sidecar: u32,
        life: u32,
        call: u32,
        lost: bool,
    },
    Heard {
        sidecar: u32,
        life: u32,
    },
    Notice {
        server: u32,
        news: u32,
    },
    Fault {
        index: u32,
        starts: bool,
    },
    Restart {
        sidecar: u32,
        down: Micros,
        kill: bool,
    },
    Up(u32),
    Second,
}

/// A day being played.
pub struct Simulator<'a> {
    day: &'a Scenario,
    now: Micros,
    end: Micros,
    queue: Queue<Happening>,
    ledger: &'a mut dyn EventLog,
    sidecars: Vec<Sidecar>,
    servers: Vec<Server>,
    discovery: Discovery,
    asks: SlotMap<AskKey, Ask>,
    tries: SlotMap<TryKey, Try>,
    tasks: SlotMap<TaskKey, Task>,
    next_number: u64,
    next_job: u64,
    machines: RandomStream,
    quotas: Vec<TenantQuota>,
    targets: Vec<Vec<u32>>,
    events: Vec<crate::server_model::Event>,
    actions: Vec<arrowstand_balancer::Action>,
    /// Happenings played.
    pub played: u64,
    /// Wishes that were not played, as too much was open.
    pub choked_off: u64,
}

impl<'a> Simulator<'a> {
    /// Sets the day up.
    ///
    /// # Errors
    /// What the decision module says of the settings.
    pub fn new(day: &'a Scenario, ledger: &'a mut dyn EventLog) -> Result<Self, String> {
        let mut model = Self {
            day,
            now: 0,
            end: from_s(day.seconds),
            queue: Queue::new(),
            ledger,
            sidecars: Vec::new(),
            servers: Vec::new(),
            discovery: Discovery::new(day),
            asks: SlotMap::with_key(),
            tries: SlotMap::with_key(),
            tasks: SlotMap::with_key(),
            next_number: 1,
            next_job: 1,
            machines: RandomStream::new(day.seed, StreamId::Machines, 0),
            quotas: quotas(day),
            targets: Vec::new(),
            events: Vec::new(),
            actions: Vec::new(),
            played: 0,
            choked_off: 0,
        };
        model.build_servers();
        model.build_sidecars()?;
        model.plan_troubles();
        model.after(1_000_000, Happening::Second);
        Ok(model)
    }

    /// Plays it to its end.
    pub fn play(&mut self) {
        while let Some((at, what)) = self.queue.pop() {
            let over = at > self.end && self.asks.is_empty();
            if over || at > self.end + REST_MOST {
                return;
            }
            self.now = at;
            self.played += 1;
            self.happen(what);
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Arrival(sidecar, wish) => self.arrival(sidecar, wish),
            Happening::Again(ask) => self.attempt(ask),
            Happening::Reached(of) => self.reached(of),
            Happening::Timer {
                sidecar,
                life,
                token,
            } => self.timer(sidecar, life, token),
            Happening::Last(of) => self.last(of),
            Happening::GivenUp(of) => self.given_up(of),
            Happening::Leaves(of) => self.leaves(of),
            Happening::Told { of, how, pause } => self.told(of, how, pause),
            Happening::Knocks(task) => self.knocks(task),
            Happening::Connected(task) => self.connected(task),
            Happening::Arrives(task) => self.arrives(task),
            Happening::Back(task, outcome) => self.back(task, outcome),
            Happening::Late(task) => self.late(task),
            Happening::CalledOff { server, start, job } => self.called_off(server, start, job),
            Happening::ServerModel { server, turn } => self.machine(server, turn),
            Happening::ProbeArrives {
                sidecar,
                life,
                server,
                delay,
                fresh,
            } => {
                self.probe_arrives((sidecar, life), server, delay, fresh);
            }
            Happening::ProbeBack {
                sidecar,
                life,
                server,
                outcome,
                load,
            } => {
                self.probe_back(sidecar, life, server, outcome, load);
            }
            Happening::List {
                sidecar,
                life,
                call,
                lost,
            } => self.list(sidecar, life, call, lost),
            Happening::Heard { sidecar, life } => self.heard(sidecar, life),
            Happening::Notice { server, news } => self.notice(server, news),
            Happening::Fault { index, starts } => self.trouble(index as usize, starts),
            Happening::Restart {
                sidecar,
                down,
                kill,
            } => self.restart(sidecar, down, kill),
            Happening::Up(sidecar) => self.start_sidecar(sidecar),
            Happening::Second => self.second(),
        }
    }

    fn at(&mut self, at: Micros, what: Happening) {
        self.queue.push(at.max(self.now), what);
    }

    fn after(&mut self, span: Micros, what: Happening) {
        self.at(self.now + span, what);
    }

    fn note(&mut self, entry: LogEvent) {
        self.ledger.note(&LogRecord {
            at: self.now,
            event: entry,
        });
    }

    fn number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// One way between two zones, drawn by a sidecar's stream.
    fn delay(&mut self, sidecar: u32, server: u32) -> Micros {
        let network = &self.day.network;
        let sidecar = &mut self.sidecars[sidecar as usize];
        let same = sidecar.zone == self.servers[server as usize].zone;
        let base = if same {
            network.same_ms
        } else {
            network.cross_ms
        };
        from_ms(base * (1.0 + network.jitter * sidecar.network.unit()))
    }

    /// Once a second: gauges and idle connections.
    fn second(&mut self) {
        for number in 0..self.servers.len() {
            let machine = &self.servers[number].machine;
            let (held, connections) = (machine.held() as u32, machine.connections() as u32);
            self.note(LogEvent::ServerGauge {
                server: number as u32,
                in_flight: held,
                connections,
            });
        }
        self.sweep();
        self.after(1_000_000, Happening::Second);
    }
}

/// What a run of the model took, beside its report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Effort {
    pub happenings: u64,
    pub choked_off: u64,
}

/// Plays a day in the model and sums it up; `further` readers see the record too.
///
/// # Errors
/// What the decision module says of the settings.
pub fn run(day: &Scenario, further: Option<&mut dyn EventLog>) -> Result<(Report, Effort), String> {
    let (mut auditor, mut tally) = (Auditor::new(day, 0), Statistics::new(day));
    let mut readers = Tee {
        first: &mut auditor,
        second: &mut tally,
        further,
    };
    let mut model = Simulator::new(day, &mut readers)?;
    model.play();
    let effort = Effort {
        happenings: model.played,
        choked_off: model.choked_off,
    };
    let choked = model
        .servers
        .iter()
        .filter(|s| s.machine.choked() > 0)
        .count();
    let held = model
        .servers
        .iter()
        .map(|s| s.machine.done.held_most)
        .max()
        .unwrap_or(0);
    auditor.finish();
    let mut report = tally.report("model", day.seed);
    report.audited(&auditor);
    report.expect(&day.expect);
    report.remarks.push(format!(
        "{choked} job servers were choked for a time; one held {held} at most"
    ));
    if effort.choked_off > 0 {
        let most = day.load.max_open_requests;
        let n = effort.choked_off;
        report.remarks.push(format!(
            "{n} wishes were choked off: load.open_most is {most}"
        ));
    }
    Ok((report, effort))
}

/// What a probe tells, as the module takes it.
fn load(load: Load) -> (u32, u32) {
    (load.inflight as u32, load.queue as u32)
}
