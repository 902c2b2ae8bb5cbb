//! The model's timetable: what goes wrong, with whom, and when it ends.

use super::server::Net;
use super::*;
use crate::event_log::{ListedStatus, ServerState};
use crate::scenario::{Fault, FaultKind};
use crate::server_model::State;

/// The job servers that a trouble hits: those named, or a part of them, drawn.
pub fn targets(day: &Scenario, index: usize, zones: &[u32]) -> Vec<u32> {
    let trouble = &day.fault[index];
    if !trouble.aims_at_servers() {
        return Vec::new();
    }
    if !trouble.servers.is_empty() {
        let number = |name: &String| name.strip_prefix('s').and_then(|n| n.parse().ok());
        return trouble.servers.iter().filter_map(number).collect();
    }
    let zone = trouble
        .zone
        .as_ref()
        .and_then(|z| day.network.zones.iter().position(|n| n == z));
    let mut there: Vec<u32> = (0..zones.len() as u32)
        .filter(|&s| zone.is_none_or(|z| zones.get(s as usize) == Some(&(z as u32))))
        .collect();
    let part = if trouble.part > 0.0 {
        trouble.part
    } else {
        1.0
    };
    let count = ((there.len() as f64 * part).round() as usize).clamp(1, there.len().max(1));
    draw(day, index, &mut there, count)
}

/// So many of a list, drawn by the trouble's own stream, in order.
fn draw(day: &Scenario, index: usize, list: &mut Vec<u32>, count: usize) -> Vec<u32> {
    let mut stream = RandomStream::new(day.seed, StreamId::Troubles, index);
    let mut drawn = Vec::with_capacity(count);
    while drawn.len() < count && !list.is_empty() {
        drawn.push(list.swap_remove(stream.below(list.len())));
    }
    drawn.sort_unstable();
    drawn
}

/// When each sidecar goes down in a roll, from its start: batch after batch over its length.
pub fn roll(day: &Scenario, index: usize) -> Vec<(u32, Micros)> {
    let trouble = &day.fault[index];
    let all = day.sidecars.count;
    let part = if trouble.part > 0.0 {
        trouble.part
    } else {
        1.0
    };
    let count = ((all as f64 * part).round() as usize).clamp(1, all);
    let concerned = draw(day, index, &mut (0..all as u32).collect(), count);
    let batch = ((all as f64 * trouble.batch).floor() as usize).max(1);
    let batches = concerned.len().div_ceil(batch);
    let pause = from_s(trouble.for_s) / batches.max(1) as Micros;
    concerned
        .iter()
        .enumerate()
        .map(|(i, &s)| (s, (i / batch) as Micros * pause))
        .collect()
}

impl Simulator<'_> {
    pub(super) fn plan_troubles(&mut self) {
        let zones: Vec<u32> = self.servers.iter().map(|s| s.zone).collect();
        for index in 0..self.day.fault.len() {
            self.targets.push(targets(self.day, index, &zones));
            let trouble = &self.day.fault[index];
            let (at, length) = (from_s(trouble.at_s), from_s(trouble.for_s));
            let number = index as u32;
            match trouble.kind {
                FaultKind::Roll => {
                    for (sidecar, later) in roll(self.day, index) {
                        self.at(at + later, restart(sidecar, trouble));
                    }
                }
                FaultKind::RestartAll => {
                    for sidecar in 0..self.sidecars.len() as u32 {
                        self.at(at, restart(sidecar, trouble));
                    }
                }
                _ => {
                    self.at(
                        at,
                        Happening::Fault {
                            index: number,
                            starts: true,
                        },
                    );
                    self.at(
                        at + length,
                        Happening::Fault {
                            index: number,
                            starts: false,
                        },
                    );
                }
            }
        }
    }

    pub(super) fn trouble(&mut self, index: usize, starts: bool) {
        let trouble = &self.day.fault[index];
        match trouble.kind {
            FaultKind::DiscoveryDown => self.discovery_fails(starts, false),
            FaultKind::DiscoverySilent => self.discovery_fails(false, starts),
            FaultKind::Burst | FaultKind::Costly | FaultKind::Roll | FaultKind::RestartAll => {}
            _ => {
                for server in self.targets[index].clone() {
                    self.server_trouble(server, trouble, starts);
                }
            }
        }
    }

    fn server_trouble(&mut self, number: u32, trouble: &Fault, starts: bool) {
        let now = self.now;
        let (notice, silent) = (
            self.day.discovery.notice_ms,
            self.day.discovery.silent_notice_ms,
        );
        let server = &mut self.servers[number as usize];
        match (trouble.kind, starts) {
            (FaultKind::Pause, true) if server.machine.state() == State::Up => {
                server
                    .machine
                    .set_state(now, State::Paused, &mut self.events);
                self.fate(number, ServerState::Paused);
            }
            (FaultKind::Pause, false) if server.machine.state() == State::Paused => {
                server.machine.set_state(now, State::Up, &mut self.events);
                self.fate(number, ServerState::Up);
            }
            (FaultKind::Slow, _) => {
                server.machine.set_slower(
                    now,
                    if starts { trouble.factor } else { 1.0 },
                    &mut self.events,
                );
                self.fate(
                    number,
                    if starts {
                        ServerState::Slow
                    } else {
                        ServerState::Up
                    },
                );
            }
            (FaultKind::Errors, _) => server.machine.set_errors(starts.then_some(trouble.share)),
            (FaultKind::Spoilt, _) => server.spoilt = if starts { trouble.share } else { 0.0 },
            (FaultKind::Resets, _) => server.resets = if starts { trouble.share } else { 0.0 },
            (FaultKind::Crash, true) => {
                self.fate(number, ServerState::Down);
                self.vanish(number, Net::Refusing);
                self.announce(number, ListedStatus::Gone, notice);
            }
            (FaultKind::Silence, true) => {
                self.fate(number, ServerState::Silent);
                self.vanish(number, Net::Silent);
                self.announce(number, ListedStatus::Gone, silent);
            }
            (FaultKind::Crash | FaultKind::Silence, false) => self.comes_back(number),
            (FaultKind::Drain | FaultKind::Replace, true) => {
                server.draining = true;
                self.fate(number, ServerState::Draining);
                self.announce(number, ListedStatus::Draining, notice);
            }
            (FaultKind::Drain, false) => {
                self.vanish(number, Net::Refusing);
                self.fate(number, ServerState::Down);
                self.comes_back(number);
            }
            (FaultKind::Replace, false) => self.replaced(number),
            _ => {}
        }
        self.settle(number);
    }

    /// The process or its machine is gone, and with it all that it held.
    pub(super) fn vanish(&mut self, number: u32, net: Net) {
        let server = &mut self.servers[number as usize];
        server.net = net;
        server
            .machine
            .set_state(self.now, State::Down, &mut self.events);
        let held: Vec<TaskKey> = std::mem::take(&mut server.jobs).into_values().collect();
        if net == Net::Silent {
            server.lost.extend(held);
        } else {
            server.start += 1;
            self.reset(held);
        }
    }

    fn reset(&mut self, tasks: Vec<TaskKey>) {
        for key in tasks {
            let Some(delay) = self.tasks.get(key).map(|t| t.delay) else {
                continue;
            };
            self.after(delay, Happening::Back(key, Outcome::Reset));
        }
    }

    fn comes_back(&mut self, number: u32) {
        let server = &mut self.servers[number as usize];
        server.start += 1;
        server.net = Net::Open;
        server.draining = false;
        server.launched = self.now;
        server
            .machine
            .set_state(self.now, State::Up, &mut self.events);
        let lost = std::mem::take(&mut server.lost);
        self.reset(lost);
        self.fate(number, ServerState::Cold);
        self.announce(number, ListedStatus::Ready, self.day.discovery.add_ms);
    }

    /// A new machine takes the place of one that has drained.
    fn replaced(&mut self, old: u32) {
        self.vanish(old, Net::Refusing);
        self.fate(old, ServerState::Down);
        self.announce(old, ListedStatus::Gone, self.day.discovery.notice_ms);
        let (kind, zone) = (
            self.servers[old as usize].machine.kind().clone(),
            self.servers[old as usize].zone,
        );
        let number = self.servers.len();
        self.servers
            .push(Server::new(self.day, &kind, number, zone, self.now, true));
        self.fate(number as u32, ServerState::Cold);
        self.announce(
            number as u32,
            ListedStatus::Ready,
            self.day.discovery.add_ms,
        );
    }
}

fn restart(sidecar: u32, trouble: &Fault) -> Happening {
    Happening::Restart {
        sidecar,
        down: from_s(trouble.down_s),
        kill: trouble.kill,
    }
}
