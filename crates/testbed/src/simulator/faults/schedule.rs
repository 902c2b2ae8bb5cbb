//! When the simulator's faults start and end, and which component each is for.
//!
//! Owns the servers that each fault hits. What a fault does there is `fleet`'s; what a restart does
//! is `sidecars`'; bursts and expensive requests are part of the arrivals that `workload` draws.

use super::{rolling_restart_times, target_servers};
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::{Fault, FaultKind, Micros, Scenario, from_s};
use crate::simulator::context::Context;
use crate::simulator::discovery::Availability;
use crate::simulator::event::{SidecarRestart, SimulatorEvent};

/// The scenario's faults, by their indexes there.
pub(in crate::simulator) struct Faults {
    /// Servers that each fault hits.
    target_servers: Vec<Vec<ServerIndex>>,
}

/// What changes as a fault starts or ends.
pub(in crate::simulator) enum FaultEffect<'a> {
    /// These servers are hit, or hit no longer.
    Servers(&'a [ServerIndex]),
    /// Discovery answers in this way from now on.
    Discovery(Availability),
    /// Nothing: the fault acts in another way.
    Nothing,
}

impl Faults {
    /// Draws the servers that each fault hits; `zones` has each server's zone.
    pub(in crate::simulator) fn new(scenario: &Scenario, zones: &[u32]) -> Self {
        let indexes = 0..scenario.fault.len();
        Self {
            target_servers: indexes
                .map(|index| target_servers(scenario, index, zones))
                .collect(),
        }
    }

    /// Schedules when each fault starts and ends.
    pub(in crate::simulator) fn schedule(&self, context: &mut Context<'_>) {
        for (index, fault) in context.scenario().fault.iter().enumerate() {
            schedule(index, fault, context);
        }
    }

    /// What changes as the fault of this index starts or ends.
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

/// Schedules a fault's start and end, or the restarts that it consists of.
fn schedule(index: usize, fault: &Fault, context: &mut Context<'_>) {
    let scenario = context.scenario();
    let start = from_s(fault.at_s);
    match fault.kind {
        FaultKind::RollingRestart => {
            for (sidecar, later) in rolling_restart_times(scenario, index) {
                schedule_restart(sidecar, start + later, fault, context);
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
                context.at(at, SimulatorEvent::Fault { index, starts });
            }
        }
    }
}

fn schedule_restart(sidecar: SidecarIndex, at: Micros, fault: &Fault, context: &mut Context<'_>) {
    let restart = SidecarRestart {
        sidecar,
        down_time: from_s(fault.down_s),
        kill: fault.kill,
    };
    context.at(at, SimulatorEvent::SidecarRestart(restart));
}
