//! The model's sidecars: each hosts one balancer as the real program does, and carries out what it asks for.

use std::collections::{BTreeMap, VecDeque};

use arrowstand_balancer::{
    Action, AttemptEnd, ClassId, DeduplicationScope, Event, Idempotency, IncomingRequest,
    LoadReport, RequestClass as ModuleClass, RequestId, ServerId, Settings,
};
use arrowstand_control::WorkAwareBalancer;

use rustc_hash::FxHashMap;

use super::*;
use crate::event_log::{ListedStatus, ProcessState};
use crate::scenario::{Class, DeduplicationGroup, Effect, ReportSource};

/// The sidecar answers this long before the terminal gives up: `step-ms`.
const MARGIN: Micros = 5_000;

/// A sidecar and all that is its own.
pub struct Sidecar {
    pub zone: u32,
    pub life: u32,
    balancer: Option<WorkAwareBalancer>,
    /// The list as it last had it.
    pub known: BTreeMap<u32, (ListedStatus, Micros)>,
    pub version: u64,
    pub subscribed: bool,
    pub calls: u32,
    /// Idle connections by job server: since when, and the start of the server that they belong to.
    pub pools: FxHashMap<u32, VecDeque<(Micros, u32)>>,
    open: BTreeMap<u64, TryKey>,
    pub wishes: ArrivalStream,
    pub terminals: RandomStream,
    pub network: RandomStream,
    seeds: RandomStream,
}

/// The module's class for a scenario's.
pub fn module_class(class: &Class) -> ModuleClass {
    let semantics = match class.idempotency {
        Effect::Safe => Idempotency::Idempotent,
        Effect::Unsafe => Idempotency::NonIdempotent,
        Effect::Keyed => Idempotency::IdempotencyKey,
    };
    let scope = if class.deduplication_scope == DeduplicationGroup::Zone {
        DeduplicationScope::Zone
    } else {
        DeduplicationScope::All
    };
    let (aim, deadline) = (
        from_ms(class.latency_objective_ms),
        from_ms(class.deadline_ms),
    );
    ModuleClass {
        priority_weight: class.priority_weight,
        deduplication_scope: scope,
        deduplication_window: from_ms(class.deduplication_window_ms),
        late_value: class.late_value,
        ..ModuleClass::new(semantics, aim, deadline)
    }
}

/// The module's settings at one of the day's sidecars, as the real program would read them.
pub fn settings(day: &Scenario, number: usize) -> Settings {
    Settings {
        classes: day.class.iter().map(module_class).collect(),
        zone: day.spread_zone(number),
        balancer_index: number as u32,
        balancer_count: day.sidecars.count as u32,
        step: MARGIN,
        cancellation: day.permissions.cancellation,
        health_checks: day.permissions.health_checks,
        gossip: false,
        hedging: day.permissions.hedging,
        retry_after: true,
        max_retry_after: from_ms(day.permissions.max_retry_after_ms),
        max_attempts: day.permissions.max_attempts,
        health_check_fee: day.prices.health_check,
        handshake_fee: day.prices.handshake,
        idle_timeout: from_s(day.permissions.idle_timeout_s),
        connection_fee: 0.0,
        cross_zone_fee: day.prices.cross_zone,
        load_reports: true,
        load_reports_in_responses: day.load_reports.source == ReportSource::Answers,
        weight_by_work: day.load.weight_by_work,
        poll_endpoints: true,
        max_poll_interval: from_ms(day.permissions.max_poll_interval_ms),
        only_draining_binds: false,
        cold_capacity_share: day
            .machine_type
            .iter()
            .map(|k| k.cold_capacity_share)
            .fold(1.0, f64::min),
        slow_start_time: from_s(
            day.machine_type
                .iter()
                .map(|k| k.slow_start_s)
                .fold(0.0, f64::max),
        ),
        cold_overload_factor: day.rules.cold_overload_factor,
        cold_overload_window: from_ms(day.rules.cold_overload_window_ms),
    }
}

impl Simulator<'_> {
    pub(super) fn build_sidecars(&mut self) -> Result<(), String> {
        let seed = self.day.seed;
        for (number, part) in parts(self.day).into_iter().enumerate() {
            settings(self.day, number)
                .validate()
                .map_err(|e| e.to_string())?;
            let stream = |cause| RandomStream::new(seed, cause, number);
            self.sidecars.push(Sidecar {
                zone: self.day.spread_zone(number),
                life: 0,
                balancer: None,
                known: self.discovery.current(),
                version: self.discovery.version,
                subscribed: false,
                calls: 0,
                pools: FxHashMap::default(),
                open: BTreeMap::new(),
                wishes: ArrivalStream::new(self.day, number, part),
                // Tries draw from a stream of their own, so that wishes stay as they are.
                terminals: RandomStream::new(seed, StreamId::Clients, number + (1 << 30)),
                network: stream(StreamId::Network),
                seeds: stream(StreamId::Seeds),
            });
        }
        for number in 0..self.sidecars.len() as u32 {
            self.start_sidecar(number);
            self.next_arrival(number);
        }
        Ok(())
    }

    /// Starts a sidecar with nothing but its last list.
    pub(super) fn start_sidecar(&mut self, number: u32) {
        let settings = settings(self.day, number as usize);
        let sidecar = &mut self.sidecars[number as usize];
        let seed = sidecar.seeds.number();
        sidecar.balancer = WorkAwareBalancer::new(settings, seed).ok();
        sidecar.subscribed = false;
        let known: Vec<_> = sidecar
            .known
            .iter()
            .map(|(&server, &(l, at))| (server, l, at))
            .collect();
        let version = sidecar.version;
        self.note(LogEvent::SidecarStateChanged {
            sidecar: number,
            state: ProcessState::Up,
        });
        self.list_told(
            number,
            arrowstand_balancer::UpdateKind::Cached,
            version,
            known,
        );
    }

    pub(super) fn is_up(&self, number: u32) -> bool {
        self.sidecars[number as usize].balancer.is_some()
    }

    /// Ends a sidecar; what it held is lost where it is killed, and answered where it is told to end.
    pub(super) fn restart(&mut self, number: u32, down: Micros, kill: bool) {
        if !self.is_up(number) {
            return;
        }
        if !kill {
            // What is open is answered first: the real program accepts for 0.7 s more, and drains.
            self.note(LogEvent::SidecarStateChanged {
                sidecar: number,
                state: ProcessState::Ending,
            });
            let grace = 700_000;
            self.after(
                grace,
                Happening::Restart {
                    sidecar: number,
                    down: down.saturating_sub(grace),
                    kill: true,
                },
            );
            return;
        }
        self.note(LogEvent::SidecarStateChanged {
            sidecar: number,
            state: ProcessState::Killed,
        });
        let sidecar = &mut self.sidecars[number as usize];
        sidecar.balancer = None;
        sidecar.subscribed = false;
        sidecar.life += 1;
        let pools = std::mem::take(&mut sidecar.pools);
        let open = std::mem::take(&mut sidecar.open);
        for (server, pool) in pools {
            self.disconnect(server, pool.iter().map(|(_, start)| *start));
        }
        for key in open.into_values() {
            let Some(of) = self.tries.get_mut(key) else {
                continue;
            };
            let unanswered = !std::mem::replace(&mut of.answered, true);
            let tasks = std::mem::take(&mut of.tasks);
            tasks.into_iter().for_each(|task| self.hang_up(task));
            if unanswered {
                let back = from_ms(self.day.network.client_ms);
                self.after(
                    back,
                    Happening::Told {
                        of: key,
                        how: RequestOutcome::ConnectionLost,
                        pause: 0,
                    },
                );
            }
        }
        self.after(down, Happening::Up(number));
    }

    /// Hands an event to the module and carries out what it asks for, and what follows from that.
    pub(super) fn tell(&mut self, number: u32, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            actions.clear();
            let now = EPOCH + self.now;
            match &mut self.sidecars[number as usize].balancer {
                Some(balancer) => balancer.handle(now, event, &mut actions),
                None => return,
            }
            for action in actions.drain(..) {
                self.carry_out(number, action, &mut events);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, number: u32, action: Action, events: &mut VecDeque<Event>) {
        let open =
            |this: &Self, id: RequestId| this.sidecars[number as usize].open.get(&id.0).copied();
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => {
                if let Some(key) = open(self, request) {
                    self.send(key, server.0, timeout, events);
                }
            }
            Action::Cancel { request, attempt } => {
                let tasks = open(self, request)
                    .and_then(|key| self.tries.get(key))
                    .map(|t| &t.tasks);
                let task = tasks.and_then(|tasks| tasks.get(attempt as usize)).copied();
                if let Some(task) = task {
                    self.abort(task, events);
                }
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                if let Some(key) = open(self, request) {
                    let pause =
                        retry_after.unwrap_or(from_ms(self.day.permissions.max_retry_after_ms));
                    self.answer(key, RequestOutcome::Rejected, pause, events);
                }
            }
            Action::Fail { request } => {
                if let Some(key) = open(self, request) {
                    let pause = from_ms(self.day.permissions.max_retry_after_ms);
                    self.answer(key, RequestOutcome::Failed, pause, events);
                }
            }
            Action::SetTimer { token, after } => {
                let life = self.sidecars[number as usize].life;
                self.after(
                    after,
                    Happening::Timer {
                        sidecar: number,
                        life,
                        token,
                    },
                );
            }
            Action::HealthCheck { server } => self.probe(number, server.0),
            Action::PollEndpoints => self.subscribe(number),
            Action::SendGossip { .. } | Action::Log { .. } => {}
        }
    }

    pub(super) fn timer(&mut self, number: u32, life: u32, token: u64) {
        if self.sidecars[number as usize].life == life {
            self.tell(number, Event::TimerFired { token });
        }
    }

    /// A transaction's last byte is at its sidecar.
    pub(super) fn reached(&mut self, key: TryKey) {
        let Some(of) = self.tries.get(key) else {
            return;
        };
        let (number, sidecar, class, due, size_hint) =
            (of.number, of.sidecar, of.class, of.due, of.hint);
        if !self.is_up(sidecar) || self.sidecars[sidecar as usize].life != of.life {
            self.told(key, RequestOutcome::Unreachable, 0);
            return;
        }
        let ask = self.asks.get(of.ask).map_or(0, |a| a.number);
        self.note(LogEvent::RequestAccepted {
            request: number,
            arrival: ask,
            sidecar,
            class,
            due,
        });
        self.sidecars[sidecar as usize].open.insert(number, key);
        let left = due.saturating_sub(self.now);
        self.at(due.saturating_sub(MARGIN), Happening::Last(key));
        let call = IncomingRequest {
            id: RequestId(number),
            class: ClassId(class),
            time_left: left,
            work_hint: size_hint,
        };
        self.tell(sidecar, Event::RequestArrived(call));
    }

    /// The sidecar's last moment for a transaction that the module has not decided.
    pub(super) fn last(&mut self, key: TryKey) {
        let Some(of) = self.tries.get(key).filter(|t| !t.answered) else {
            return;
        };
        let (sidecar, number) = (of.sidecar, of.number);
        if !self.is_up(sidecar) {
            return;
        }
        let mut events = VecDeque::from([Event::ClientDisconnected {
            request: RequestId(number),
        }]);
        let pause = from_ms(self.day.permissions.max_retry_after_ms);
        self.answer(key, RequestOutcome::Failed, pause, &mut events);
        events
            .into_iter()
            .for_each(|event| self.tell(sidecar, event));
    }

    /// The terminal has left: nothing more is owed, and what is out is called off.
    pub(super) fn abandoned(&mut self, key: TryKey) {
        let Some(of) = self.tries.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut of.answered, true) {
            return;
        }
        let (sidecar, number) = (of.sidecar, of.number);
        let mut events = VecDeque::from([Event::ClientDisconnected {
            request: RequestId(number),
        }]);
        self.close(key, &mut events);
        events
            .into_iter()
            .for_each(|event| self.tell(sidecar, event));
    }

    /// Gives the one final answer and calls off what is still out.
    fn answer(
        &mut self,
        key: TryKey,
        how: RequestOutcome,
        pause: Micros,
        events: &mut VecDeque<Event>,
    ) {
        let Some(of) = self.tries.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut of.answered, true) {
            return;
        }
        self.close(key, events);
        let back = from_ms(self.day.network.client_ms);
        self.after(
            back,
            Happening::Told {
                of: key,
                how,
                pause: pause as u32,
            },
        );
    }

    fn close(&mut self, key: TryKey, events: &mut VecDeque<Event>) {
        let Some(of) = self.tries.get(key) else {
            return;
        };
        let (sidecar, number, tasks) = (of.sidecar, of.number, of.tasks.clone());
        tasks.into_iter().for_each(|task| self.abort(task, events));
        self.sidecars[sidecar as usize].open.remove(&number);
    }

    /// Tells the module how a routed task ended.
    pub(super) fn end_task(
        &mut self,
        key: TaskKey,
        outcome: Outcome,
        events: &mut VecDeque<Event>,
    ) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut task.ended, true) {
            return;
        }
        let (of, tx, server, attempt) = (task.of, task.tx, task.server, task.attempt);
        let report = task.report.map(|held| LoadReport {
            in_flight: held as f64,
            queued: 0.0,
        });
        let elapsed = self.now - task.sent;
        let answered = self.tries.get(of).is_none_or(|t| t.answered);
        let finished = answered || outcome == Outcome::Served;
        events.push_back(Event::AttemptEnded(AttemptEnd {
            request: RequestId(tx),
            attempt,
            server: ServerId(server),
            outcome,
            finished,
            elapsed,
            load_report: report,
        }));
        if outcome == Outcome::Served && !answered {
            self.answer(of, RequestOutcome::Served, 0, events);
        }
    }

    /// Calls a routed task off: its connection is closed, and the job server notices.
    fn abort(&mut self, key: TaskKey, events: &mut VecDeque<Event>) {
        if self.tasks.get(key).is_some_and(|t| !t.ended) {
            self.hang_up(key);
            self.end_task(key, Outcome::Cancelled, events);
        }
    }

    pub(super) fn probe_back(
        &mut self,
        number: u32,
        life: u32,
        server: u32,
        outcome: Outcome,
        load: Option<(u32, u32)>,
    ) {
        if self.sidecars[number as usize].life != life {
            return;
        }
        let report = load.map(|(held, waiting)| LoadReport {
            in_flight: f64::from(held),
            queued: f64::from(waiting),
        });
        self.tell(
            number,
            Event::HealthCheckEnded {
                server: ServerId(server),
                outcome,
                load_report: report,
            },
        );
    }
}

impl Sidecar {
    pub fn balancer_is_down(&self) -> bool {
        self.balancer.is_none()
    }
}
