//! The model's job servers, and everything on the way to them and back: connections, requests, probes.

use std::collections::{BTreeMap, VecDeque};

use arrowstand_balancer::Event as Told;

use super::*;
use crate::event_log::ServerState;
use crate::server_model::{Event, Job, ServerModel, State};

/// Share of the idle time after which a sidecar no longer uses a connection.
const REUSE: f64 = 0.75;

/// How the network answers for a job server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Net {
    Open,
    /// Its process is gone: connections are refused.
    Refusing,
    /// Its machine is gone: nothing is said.
    Silent,
}

/// A job server.
pub struct Server {
    pub machine: ServerModel,
    pub zone: u32,
    pub net: Net,
    /// Counts its starts: connections belong to one.
    pub start: u32,
    pub launched: Micros,
    pub draining: bool,
    /// Requests that are here, by their number on the machine.
    pub jobs: BTreeMap<u64, TaskKey>,
    /// Routed tasks that went into silence.
    pub lost: Vec<TaskKey>,
    pub spoilt: f64,
    pub resets: f64,
    turn: u32,
    planned: Option<Micros>,
}

impl Server {
    pub fn new(
        day: &Scenario,
        kind: &crate::scenario::MachineType,
        number: usize,
        zone: u32,
        now: Micros,
        cold: bool,
    ) -> Self {
        // 0 stands for long ago.
        let launched = if cold { now.max(1) } else { 0 };
        Self {
            machine: ServerModel::drawn(day, kind, number, now, cold),
            zone,
            net: Net::Open,
            start: 0,
            launched,
            draining: false,
            jobs: BTreeMap::new(),
            lost: Vec::new(),
            spoilt: 0.0,
            resets: 0.0,
            turn: 0,
            planned: None,
        }
    }
}

impl Simulator<'_> {
    pub(super) fn build_servers(&mut self) {
        let day = self.day;
        for (number, (kind, group)) in day.fleet().into_iter().enumerate() {
            let zone = day.server_zone(group, number);
            self.servers
                .push(Server::new(day, kind, number, zone, 0, group.cold));
            self.fate(
                number as u32,
                if group.cold {
                    ServerState::Cold
                } else {
                    ServerState::Up
                },
            );
            self.discovery
                .list(number as u32, self.servers[number].launched);
        }
    }

    pub(super) fn fate(&mut self, server: u32, fate: ServerState) {
        let zone = self.servers[server as usize].zone;
        self.note(LogEvent::ServerStateChanged {
            server,
            zone,
            state: fate,
        });
    }

    // Connections.

    pub(super) fn disconnect(&mut self, server: u32, starts: impl Iterator<Item = u32>) {
        let server = &mut self.servers[server as usize];
        starts
            .filter(|&start| start == server.start)
            .for_each(|_| server.machine.disconnect());
    }

    fn idle(&mut self, sidecar: u32, server: u32) -> Option<u32> {
        let keep = (from_s(self.day.permissions.idle_timeout_s) as f64 * REUSE) as Micros;
        let start = self.servers[server as usize].start;
        let refusing = self.servers[server as usize].net == Net::Refusing;
        let now = self.now;
        let pool = self.sidecars[sidecar as usize].pools.get_mut(&server)?;
        // A dead process has reset its connections; the pool knows.
        pool.retain(|(_, its)| *its == start && !refusing);
        let (since, its) = pool.pop_back()?;
        if since + keep > now {
            return Some(its);
        }
        self.disconnect(server, std::iter::once(its));
        None
    }

    fn keep(&mut self, sidecar: u32, server: u32, since: Micros, start: u32) {
        if self.is_up(sidecar) {
            let pools = &mut self.sidecars[sidecar as usize].pools;
            pools.entry(server).or_default().push_back((since, start));
        } else {
            self.disconnect(server, std::iter::once(start));
        }
    }

    /// Closes connections that have stood idle for too long.
    pub(super) fn sweep(&mut self) {
        let (now, keep) = (
            self.now,
            (from_s(self.day.permissions.idle_timeout_s) as f64 * REUSE) as Micros,
        );
        for sidecar in &mut self.sidecars {
            for (&server, pool) in &mut sidecar.pools {
                let server = &mut self.servers[server as usize];
                let old = |(since, _): &(Micros, u32)| since + keep <= now;
                for (_, start) in pool.iter().filter(|idle| old(idle)) {
                    if *start == server.start {
                        server.machine.disconnect();
                    }
                }
                pool.retain(|idle| !old(idle));
            }
            sidecar.pools.retain(|_, pool| !pool.is_empty());
        }
    }

    /// Closes a routed task's connection; what the job server has of it, it is told after the way there.
    pub(super) fn hang_up(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        let (server, delay, job, written) = (task.server, task.delay, task.job, task.written);
        if let Some(start) = task.connection.take() {
            self.disconnect(server, std::iter::once(start));
            if written {
                self.after(delay, Happening::CalledOff { server, start, job });
            }
        }
    }

    // Routed tasks.

    pub(super) fn send(
        &mut self,
        of: TryKey,
        server: u32,
        timeout: Option<Micros>,
        events: &mut VecDeque<Told>,
    ) {
        let Some(owner) = self.tries.get(of).filter(|t| !t.answered) else {
            return;
        };
        let (sidecar, tx, attempt, work) = (
            owner.sidecar,
            owner.number,
            owner.tasks.len() as u32,
            owner.work,
        );
        let left = owner.due.saturating_sub(self.now);
        let until = self.now + timeout.map_or(left, |t| t.min(left));
        let noise = self
            .day
            .class
            .get(usize::from(owner.class))
            .map_or(0.0, |c| c.noise);
        let job = self.next_job;
        self.next_job += 1;
        let known = self.servers.get(server as usize).is_some();
        let delay = if known {
            self.delay(sidecar, server)
        } else {
            0
        };
        let chance = &mut self.sidecars[sidecar as usize].network;
        let work = if noise > 0.0 {
            work * (noise * chance.normal() - noise * noise / 2.0).exp()
        } else {
            work
        };
        let connection = if known {
            self.idle(sidecar, server)
        } else {
            None
        };
        let task = Task {
            of,
            tx,
            attempt,
            sidecar,
            server,
            job,
            sent: self.now,
            until,
            work,
            delay,
            connection,
            fresh: connection.is_none(),
            written: connection.is_some(),
            ended: false,
            doomed: false,
            report: None,
        };
        let key = self.tasks.insert(task);
        if let Some(owner) = self.tries.get_mut(of) {
            owner.tasks.push(key);
        }
        if !known {
            self.end_task(key, Outcome::NotSent, events);
        } else if connection.is_some() {
            self.begin(key);
            self.after(delay, Happening::Arrives(key));
            self.at(until, Happening::Late(key));
        } else {
            self.after(delay, Happening::Knocks(key));
            let connect = self.now + from_ms(self.day.permissions.connect_timeout_ms);
            self.at(until.min(connect), Happening::Late(key));
        }
    }

    fn begin(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        task.written = true;
        let (tx, sidecar, server) = (task.tx, task.sidecar, task.server);
        let crossing = self.sidecars[sidecar as usize].zone != self.servers[server as usize].zone;
        self.note(LogEvent::AttemptStarted {
            request: tx,
            sidecar,
            server,
            cross_zone: crossing,
        });
    }

    /// A new connection's first packet is at the job server.
    pub(super) fn knocks(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        let (server, delay) = (&mut self.servers[task.server as usize], task.delay);
        let open = match server.net {
            Net::Silent => return,
            _ if task.ended => {
                self.tasks.remove(key);
                return;
            }
            Net::Refusing => false,
            Net::Open => server.machine.connect(),
        };
        if open {
            task.connection = Some(server.start);
            self.after(delay, Happening::Connected(key));
        } else {
            self.after(delay, Happening::Back(key, Outcome::ConnectFailed));
        }
    }

    pub(super) fn connected(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.get(key) else {
            return;
        };
        if task.ended {
            self.tasks.remove(key);
            return;
        }
        let (until, delay, server) = (task.until, task.delay, task.server);
        let trips = (self.servers[server as usize].machine.kind().handshake_rtts - 1.0).max(0.0);
        self.begin(key);
        self.at(until, Happening::Late(key));
        self.after(
            delay + (trips * 2.0 * delay as f64) as Micros,
            Happening::Arrives(key),
        );
    }

    /// A request's last byte is at the job server.
    pub(super) fn arrives(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        let number = task.server;
        let server = &mut self.servers[number as usize];
        // Closed before it was all there.
        if task.ended && task.fresh {
            self.tasks.remove(key);
            return;
        }
        let (tx, job, work, delay) = (task.tx, task.job, task.work, task.delay);
        if server.net == Net::Silent {
            server.lost.push(key);
            return;
        }
        if server.net == Net::Refusing || task.connection.is_some_and(|start| start != server.start)
        {
            self.after(delay, Happening::Back(key, Outcome::Reset));
            return;
        }
        let (capacity, cold) = (
            server.machine.capacity(self.now),
            server.machine.is_cold(self.now),
        );
        task.doomed = server.resets > 0.0 && self.machines.chance(server.resets);
        let fresh = task.fresh;
        if fresh {
            server.machine.handshake(self.now, &mut self.events);
        }
        let taken = !server.draining
            && server.machine.offer(
                self.now,
                Job {
                    id: job,
                    work,
                    until: task.until,
                },
                &mut self.events,
            );
        if taken {
            server.jobs.insert(job, key);
        }
        if fresh {
            self.note(LogEvent::ConnectionOpened { server: number });
        }
        self.note(LogEvent::AttemptReceived {
            request: tx,
            server: number,
            work,
            capacity,
            cold,
        });
        if !taken {
            self.note(LogEvent::AttemptRejected {
                request: tx,
                server: number,
            });
            self.after(delay, Happening::Back(key, Outcome::Rejected));
        }
        self.settle(number);
    }

    /// Carries out what a machine did, and plans when to look at it next.
    pub(super) fn settle(&mut self, number: u32) {
        let mut events = std::mem::take(&mut self.events);
        for event in events.drain(..) {
            match event {
                Event::Began(_) => {}
                Event::Ended { id, error } => self.ended(number, id, error),
                Event::Dropped(id) => {
                    if let Some(key) = self.servers[number as usize].jobs.remove(&id) {
                        self.forget(key);
                    }
                }
                Event::Fell => {
                    self.fate(number, ServerState::Fallen);
                    self.vanish(number, Net::Refusing);
                }
            }
        }
        self.events = events;
        let server = &mut self.servers[number as usize];
        let next = server.machine.next();
        if next != server.planned || next.is_some_and(|at| at <= self.now) {
            server.planned = next;
            server.turn += 1;
            let turn = server.turn;
            if let Some(at) = next {
                self.at(
                    at,
                    Happening::ServerModel {
                        server: number,
                        turn,
                    },
                );
            }
        }
    }

    fn ended(&mut self, number: u32, id: u64, error: bool) {
        let server = &mut self.servers[number as usize];
        let Some(key) = server.jobs.remove(&id) else {
            return;
        };
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        task.report = server.machine.answer_report(self.now);
        let (tx, work, delay, ended) = (task.tx, task.work, task.delay, task.ended);
        let spoilt = server.spoilt > 0.0 && self.machines.chance(server.spoilt);
        let broken = task.doomed || spoilt;
        self.note(LogEvent::WorkDone {
            request: tx,
            server: number,
            work,
        });
        let outcome = match (broken, error) {
            (true, _) => Outcome::Reset,
            (false, true) => Outcome::ServerError,
            (false, false) => Outcome::Served,
        };
        if ended {
            self.tasks.remove(key);
        } else {
            self.after(delay, Happening::Back(key, outcome));
        }
    }

    /// Removes a routed task that has ended; one that has not waits for its time-out.
    fn forget(&mut self, key: TaskKey) {
        if self.tasks.get(key).is_some_and(|t| t.ended) {
            self.tasks.remove(key);
        }
    }

    pub(super) fn machine(&mut self, number: u32, turn: u32) {
        let server = &mut self.servers[number as usize];
        if server.turn == turn {
            server.planned = None;
            server.machine.advance(self.now, &mut self.events);
            self.settle(number);
        }
    }

    pub(super) fn called_off(&mut self, number: u32, start: u32, job: u64) {
        let server = &mut self.servers[number as usize];
        if server.start != start || server.net != Net::Open {
            return;
        }
        let unseen = server.machine.cancel(self.now, job, &mut self.events);
        if unseen && let Some(key) = server.jobs.remove(&job) {
            self.forget(key);
        }
        self.settle(number);
    }

    /// The end of a routed task is at its sidecar.
    pub(super) fn back(&mut self, key: TaskKey, outcome: Outcome) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        if !task.ended {
            let (sidecar, server) = (task.sidecar, task.server);
            let whole = matches!(
                outcome,
                Outcome::Served | Outcome::ServerError | Outcome::Rejected
            );
            if let Some(start) = task.connection.take() {
                if whole {
                    self.keep(sidecar, server, self.now, start);
                } else {
                    self.disconnect(server, std::iter::once(start));
                }
            }
            let mut events = VecDeque::new();
            self.end_task(key, outcome, &mut events);
            events
                .into_iter()
                .for_each(|event| self.tell(sidecar, event));
        }
        self.tasks.remove(key);
    }

    /// A routed task's time is over, or its connection did not come up.
    pub(super) fn late(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.get(key) else {
            return;
        };
        if task.ended || task.written && self.now < task.until {
            return;
        }
        let (sidecar, server, job) = (task.sidecar, task.server, task.job);
        let outcome = if task.written {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        };
        self.hang_up(key);
        let mut events = VecDeque::new();
        self.end_task(key, outcome, &mut events);
        events
            .into_iter()
            .for_each(|event| self.tell(sidecar, event));
        if !self.servers[server as usize].jobs.contains_key(&job)
            && outcome == Outcome::ConnectFailed
        {
            self.tasks.remove(key);
        }
    }

    // Probes.

    pub(super) fn probe(&mut self, sidecar: u32, server: u32) {
        self.note(LogEvent::HealthChecked { sidecar, server });
        let life = self.sidecars[sidecar as usize].life;
        let delay = self.delay(sidecar, server);
        let fresh = self.idle(sidecar, server).is_none();
        let way = if fresh { 3 * delay } else { delay };
        self.after(
            way,
            Happening::ProbeArrives {
                sidecar,
                life,
                server,
                delay: delay as u32,
                fresh,
            },
        );
    }

    pub(super) fn probe_arrives(&mut self, of: (u32, u32), number: u32, delay: u32, fresh: bool) {
        let (sidecar, life) = of;
        let server = &mut self.servers[number as usize];
        let back = |outcome, load| Happening::ProbeBack {
            sidecar,
            life,
            server: number,
            outcome,
            load,
        };
        let delay = Micros::from(delay);
        let refused = server.net == Net::Refusing
            || server.net == Net::Open && fresh && !server.machine.connect();
        if refused {
            self.after(delay, back(Outcome::ConnectFailed, None));
            return;
        }
        if server.net == Net::Silent || server.machine.state() != State::Up {
            if server.net == Net::Open {
                server.machine.disconnect();
            }
            let wait =
                from_ms(self.day.permissions.health_check_timeout_ms).saturating_sub(2 * delay);
            self.after(wait, back(Outcome::TimedOut, None));
            return;
        }
        if fresh {
            server.machine.handshake(self.now, &mut self.events);
        }
        let start = server.start;
        let load = server.machine.probe(self.now, &mut self.events).map(load);
        let outcome = if load.is_some() {
            Outcome::Served
        } else {
            Outcome::Rejected
        };
        self.after(delay, back(outcome, load));
        if fresh {
            self.note(LogEvent::ConnectionOpened { server: number });
        }
        if self.sidecars[sidecar as usize].life == life {
            self.keep(sidecar, number, self.now + delay, start);
        } else {
            self.disconnect(number, std::iter::once(start));
        }
        self.settle(number);
    }
}
