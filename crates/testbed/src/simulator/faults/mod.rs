//! Selects the targets of a scenario's faults, and the times of rolling restarts. The targets and
//! times are the same in the simulator and the emulator.
//!
//! `schedule` schedules the faults in the simulator; each component implements their effects.

mod schedule;

pub(super) use schedule::{FaultEffect, Faults};

use crate::index::{ServerIndex, SidecarIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Fault, Micros, Scenario, from_s};

/// Returns the servers that a fault affects: the servers that it names, or a random sample of the
/// servers in its zone. `zones` has each server's zone. A fault that doesn't target servers affects
/// none.
pub fn target_servers(scenario: &Scenario, index: usize, zones: &[u32]) -> Vec<ServerIndex> {
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
                .is_some_and(|&server_zone| server_zone as usize == zone)
        })
    };
    let mut servers: Vec<ServerIndex> = ServerIndex::all(zones.len()).filter(is_in_zone).collect();
    let scaled = scaled_count(servers.len(), target_share(fault)).round();
    let count = (scaled as usize).clamp(1, servers.len().max(1));
    draw_sample(scenario, index, &mut servers, count)
}

/// When each sidecar restarts in a rolling restart, in microseconds from the start of the fault.
/// The batches are spread evenly over the duration of the fault.
pub fn rolling_restart_times(scenario: &Scenario, index: usize) -> Vec<(SidecarIndex, Micros)> {
    let fault = &scenario.fault[index];
    let total = scenario.sidecars.count;
    let scaled = scaled_count(total, target_share(fault)).round();
    let count = (scaled as usize).clamp(1, total);
    let mut sidecars = SidecarIndex::all(total).collect();
    let drawn = draw_sample(scenario, index, &mut sidecars, count);
    let batch = (scaled_count(total, fault.batch) as usize).max(1);
    let batches = drawn.len().div_ceil(batch);
    let interval = from_s(fault.for_s) / batches.max(1) as Micros;
    let numbered = drawn.iter().enumerate();
    numbered
        .map(|(number, &sidecar)| (sidecar, (number / batch) as Micros * interval))
        .collect()
}

/// The fraction of the candidates that a fault affects. A `target_share` of 0 stands for all of
/// them.
fn target_share(fault: &Fault) -> f64 {
    if fault.target_share > 0.0 {
        fault.target_share
    } else {
        1.0
    }
}

/// A fraction of a count, not rounded.
fn scaled_count(count: usize, share: f64) -> f64 {
    count as f64 * share
}

/// Draws `count` of the candidates from the fault's own random stream; returns them sorted.
fn draw_sample<T: Copy + Ord>(
    scenario: &Scenario,
    index: usize,
    candidates: &mut Vec<T>,
    count: usize,
) -> Vec<T> {
    let mut random = RandomStream::new(scenario.seed, StreamId::Faults, index);
    let mut drawn = Vec::with_capacity(count);
    while drawn.len() < count && !candidates.is_empty() {
        drawn.push(candidates.swap_remove(random.index_below(candidates.len())));
    }
    drawn.sort_unstable();
    drawn
}
