//! Schedules the start and end of the simulator's faults, and routes each to its component.
//!
//! `fleet` implements the effects on servers, and `sidecars` implements restarts. `workload` draws
//! the arrivals with the bursts and expensive requests.

use super::{rolling_restart_times, target_servers};
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::{Fault, FaultKind, Micros, Scenario, from_s};
use crate::simulator::context::Context;
use crate::simulator::discovery::Availability;
use crate::simulator::event::{SidecarRestart, SimulatorEvent};

/// The scenario's faults, by their index in the scenario.
pub(in crate::simulator) struct Faults {
    /// Target servers of each fault.
    target_servers: Vec<Vec<ServerIndex>>,
}

/// The component that a fault affects as it starts or ends.
pub(in crate::simulator) enum FaultEffect<'a> {
    /// The fault starts or ends at these servers.
    Servers(&'a [ServerIndex]),
    /// Discovery has this availability from now on.
    Discovery(Availability),
    /// Nothing happens at the event itself: the fault is part of the arrivals, or consists of
    /// separately scheduled restarts.
    Nothing,
}

impl Faults {
    /// Draws the target servers of each fault; `zones` has each server's zone.
    pub(in crate::simulator) fn new(scenario: &Scenario, zones: &[u32]) -> Self {
        let indexes = 0..scenario.fault.len();
        Self {
            target_servers: indexes
                .map(|index| target_servers(scenario, index, zones))
                .collect(),
        }
    }

    /// Schedules the start and end of every fault.
    pub(in crate::simulator) fn schedule(&self, context: &mut Context<'_>) {
        for (index, fault) in context.scenario().fault.iter().enumerate() {
            schedule(index, fault, context);
        }
    }

    /// The effect of the start or end of the fault of this index.
    pub(in crate::simulator) fn effect(
        &self,
        index: usize,
        fault: &Fault,
        starts: bool,
    ) -> FaultEffect<'_> {
        match fault.kind {
            FaultKind::DiscoveryDown if starts => FaultEffect::Discovery(Availability::Down),
            FaultKind::DiscoverySilent if starts => FaultEffect::Discovery(Availability::Silent),
            FaultKind::DiscoveryDown | FaultKind::DiscoverySilent => {
                FaultEffect::Discovery(Availability::Up)
            }
            FaultKind::Burst
            | FaultKind::ExpensiveRequests
            | FaultKind::RollingRestart
            | FaultKind::RestartAll => FaultEffect::Nothing,
            _ => FaultEffect::Servers(&self.target_servers[index]),
        }
    }
}

/// Schedules the start and end of a fault, or the sidecar restarts that it consists of.
fn schedule(index: usize, fault: &Fault, context: &mut Context<'_>) {
    let scenario = context.scenario();
    let start = from_s(fault.at_s);
    match fault.kind {
        FaultKind::RollingRestart => {
            for (sidecar, offset) in rolling_restart_times(scenario, index) {
                schedule_restart(sidecar, start + offset, fault, context);
            }
        }
        FaultKind::RestartAll => {
            for sidecar in SidecarIndex::all(scenario.sidecars.count) {
                schedule_restart(sidecar, start, fault, context);
            }
        }
        _ => {
            let end = start + from_s(fault.for_s);
            for (at, starts) in [(start, true), (end, false)] {
                context.schedule_at(at, SimulatorEvent::Fault { index, starts });
            }
        }
    }
}

fn schedule_restart(sidecar: SidecarIndex, at: Micros, fault: &Fault, context: &mut Context<'_>) {
    let restart = SidecarRestart {
        sidecar,
        downtime: from_s(fault.down_s),
        kill: fault.kill,
    };
    context.schedule_at(at, SimulatorEvent::SidecarRestart(restart));
}
