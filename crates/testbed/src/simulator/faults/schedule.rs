//! When the simulator's faults start and end.

use super::{rolling_restart, targets};
use crate::index::SidecarIndex;
use crate::scenario::{Fault, FaultKind, Micros, from_s};
use crate::simulator::Simulator;
use crate::simulator::discovery::Availability;
use crate::simulator::event::{SidecarRestart, SimulatorEvent};

impl Simulator<'_> {
    pub(in crate::simulator) fn schedule_faults(&mut self) {
        let scenario = self.context.scenario();
        let zones = self.fleet.zones();
        for (index, fault) in scenario.fault.iter().enumerate() {
            self.fault_targets.push(targets(scenario, index, &zones));
            let start = from_s(fault.at_s);
            match fault.kind {
                FaultKind::RollingRestart => {
                    for (sidecar, later) in rolling_restart(scenario, index) {
                        self.schedule_restart(sidecar, start + later, fault);
                    }
                }
                FaultKind::RestartAll => {
                    for sidecar in SidecarIndex::all(self.sidecars.len()) {
                        self.schedule_restart(sidecar, start, fault);
                    }
                }
                _ => self.schedule_fault(index, start, start + from_s(fault.for_s)),
            }
        }
    }

    fn schedule_restart(&mut self, sidecar: SidecarIndex, at: Micros, fault: &Fault) {
        let restart = SimulatorEvent::SidecarRestart(SidecarRestart {
            sidecar,
            down_time: from_s(fault.down_s),
            kill: fault.kill,
        });
        self.context.at(at, restart);
    }

    fn schedule_fault(&mut self, index: usize, start: Micros, end: Micros) {
        for (at, starts) in [(start, true), (end, false)] {
            let event = SimulatorEvent::Fault { index, starts };
            self.context.at(at, event);
        }
    }

    pub(in crate::simulator) fn on_fault(&mut self, index: usize, starts: bool) {
        let scenario = self.context.scenario();
        let fault = &scenario.fault[index];
        match fault.kind {
            FaultKind::DiscoveryDown if starts => self.on_discovery_fault(Availability::Down),
            FaultKind::DiscoverySilent if starts => self.on_discovery_fault(Availability::Silent),
            FaultKind::DiscoveryDown | FaultKind::DiscoverySilent => {
                self.on_discovery_fault(Availability::Up);
            }
            FaultKind::Burst
            | FaultKind::ExpensiveRequests
            | FaultKind::RollingRestart
            | FaultKind::RestartAll => {}
            _ => {
                for server in self.fault_targets[index].clone() {
                    self.fleet.on_fault(
                        server,
                        fault,
                        starts,
                        &mut self.attempts,
                        &mut self.context,
                    );
                }
            }
        }
    }
}
