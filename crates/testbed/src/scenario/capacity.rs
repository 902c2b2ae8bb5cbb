//! The servers of a scenario's fleet, their zones and their capacity.
//!
//! Both engines rely on this order of the servers and this assignment of servers and sidecars to
//! zones. Only the fleet at the start is covered; the engines track servers that replace others and
//! servers that are down.

use super::{MachineType, Scenario, ServerGroup};
use crate::index::{ServerIndex, SidecarIndex};

impl Scenario {
    /// Machine type and group of each server, by server index. Groups of unknown machine types are
    /// left out.
    pub fn fleet(&self) -> Vec<(&MachineType, &ServerGroup)> {
        self.servers
            .iter()
            .filter_map(|group| Some((self.machine_type_of(group)?, group)))
            .flat_map(|(machine_type, group)| {
                std::iter::repeat_n((machine_type, group), group.count)
            })
            .collect()
    }

    fn machine_type_of(&self, group: &ServerGroup) -> Option<&MachineType> {
        self.machine_type
            .iter()
            .find(|machine_type| machine_type.name == group.machine_type)
    }

    /// A machine type as balancers see it. If sidecars know machine types, it has an id, cores and
    /// speed; otherwise it is the unknown type.
    pub fn advertised_machine_type(
        &self,
        machine_type: &MachineType,
    ) -> arrowstand_balancer::MachineType {
        if !self.sidecars.knows_machine_types {
            return arrowstand_balancer::MachineType::default();
        }
        arrowstand_balancer::MachineType {
            id: self.machine_type_id(machine_type),
            cores: f64::from(machine_type.cores),
            speed: machine_type.speed,
        }
    }

    /// Id of a machine type: its position in the file, from 1; 0 for an unknown one.
    fn machine_type_id(&self, machine_type: &MachineType) -> u32 {
        self.machine_type
            .iter()
            .position(|other| other.name == machine_type.name)
            .map_or(0, |position| to_u32(position) + 1)
    }

    /// Work that the warm fleet can do per second, in seconds of a standard core.
    pub fn capacity(&self) -> f64 {
        self.fleet()
            .iter()
            .map(|(machine_type, _)| f64::from(machine_type.cores) * machine_type.speed)
            .sum()
    }

    /// Zone of a server in a group, as a position in the network's list of zones.
    pub fn server_zone(&self, group: &ServerGroup, server: ServerIndex) -> u32 {
        let named = group
            .zone
            .as_ref()
            .and_then(|zone| self.network.zones.iter().position(|name| name == zone));
        named.map_or(self.round_robin_zone(server.index()), to_u32)
    }

    /// Zone of a sidecar; sidecars are spread round-robin.
    pub fn sidecar_zone(&self, sidecar: SidecarIndex) -> u32 {
        self.round_robin_zone(sidecar.index())
    }

    /// Zone of the server or sidecar at a position in its list, if they are spread round-robin.
    fn round_robin_zone(&self, position: usize) -> u32 {
        let zones = self.network.zones.len().max(1);
        to_u32(position % zones)
    }
}

/// A position in a list of zones or machine types as the integer that balancers use. The cast does
/// not truncate, since no list is long enough.
fn to_u32(position: usize) -> u32 {
    position as u32
}
