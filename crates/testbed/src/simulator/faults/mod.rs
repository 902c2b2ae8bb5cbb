//! Whom a scenario's faults hit, and when; alike for simulator and emulator.
//!
//! When a fault starts and ends in the simulator is `schedule`; what it does is its component's.

mod schedule;

pub(super) use schedule::{FaultEffect, Faults};

use crate::index::{ServerIndex, SidecarIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Fault, Micros, Scenario, from_s};

/// The servers that the fault of this index hits: those named, or a share of them, drawn. `zones`
/// has each server's zone.
pub fn targets(scenario: &Scenario, index: usize, zones: &[u32]) -> Vec<ServerIndex> {
    let fault = &scenario.fault[index];
    if !fault.targets_servers() {
        return Vec::new();
    }
    if !fault.servers.is_empty() {
        let names = fault.servers.iter();
        return names
            .filter_map(|name| ServerIndex::from_name(name))
            .collect();
    }
    let zone = fault
        .zone
        .as_ref()
        .and_then(|zone| scenario.network.zones.iter().position(|name| name == zone));
    let is_in_zone = |&server: &ServerIndex| {
        zone.is_none_or(|zone| {
            zones
                .get(server.index())
                .is_some_and(|&z| z as usize == zone)
        })
    };
    let mut servers: Vec<ServerIndex> = ServerIndex::all(zones.len()).filter(is_in_zone).collect();
    let hit = share_of(servers.len(), target_share(fault)).round();
    let count = (hit as usize).clamp(1, servers.len().max(1));
    draw(scenario, index, &mut servers, count)
}

/// When each sidecar goes down in a rolling restart, in microseconds from its start: batch after
/// batch over its length.
pub fn rolling_restart(scenario: &Scenario, index: usize) -> Vec<(SidecarIndex, Micros)> {
    let fault = &scenario.fault[index];
    let all = scenario.sidecars.count;
    let hit = share_of(all, target_share(fault)).round();
    let count = (hit as usize).clamp(1, all);
    let mut sidecars = SidecarIndex::all(all).collect();
    let drawn = draw(scenario, index, &mut sidecars, count);
    let batch = (share_of(all, fault.batch) as usize).max(1);
    let batches = drawn.len().div_ceil(batch);
    let interval = from_s(fault.for_s) / batches.max(1) as Micros;
    let in_turn = drawn.iter().enumerate();
    in_turn
        .map(|(turn, &sidecar)| (sidecar, (turn / batch) as Micros * interval))
        .collect()
}

/// The share of the candidates that a fault hits; all of them where none is given.
fn target_share(fault: &Fault) -> f64 {
    if fault.target_share > 0.0 {
        fault.target_share
    } else {
        1.0
    }
}

/// A share of so many, before it is rounded.
fn share_of(count: usize, share: f64) -> f64 {
    count as f64 * share
}

/// So many of the candidates, drawn by the fault's own stream, in order.
fn draw<T: Copy + Ord>(
    scenario: &Scenario,
    index: usize,
    candidates: &mut Vec<T>,
    count: usize,
) -> Vec<T> {
    let mut random = RandomStream::new(scenario.seed, StreamId::Faults, index);
    let mut drawn = Vec::with_capacity(count);
    while drawn.len() < count && !candidates.is_empty() {
        drawn.push(candidates.swap_remove(random.below(candidates.len())));
    }
    drawn.sort_unstable();
    drawn
}
