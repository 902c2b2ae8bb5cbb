//! What a scenario's fleet is made of, where it stands, and how much work it can do.
//!
//! Owns the order of the servers and how servers and sidecars are spread over zones, which both
//! engines rely on. Knows only the fleet at the start: servers that replace others, and those that
//! are down, are the engines'.

use super::{MachineType, Scenario, ServerGroup};
use crate::index::{ServerIndex, SidecarIndex};

impl Scenario {
    /// Machine type and group of each server, in the order of the servers' names. Groups of unknown
    /// machine types are left out.
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

    /// A machine type as balancers see it: its number, cores and speed where sidecars know machine
    /// types, and nothing where they do not.
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

    /// Number of a machine type in the order of the file, from 1; 0 for an unknown one.
    fn machine_type_id(&self, machine_type: &MachineType) -> u32 {
        self.machine_type
            .iter()
            .position(|other| other.name == machine_type.name)
            .map_or(0, |position| as_number(position) + 1)
    }

    /// Work that the warm fleet does in a second, in seconds of a standard core.
    pub fn capacity(&self) -> f64 {
        self.fleet()
            .iter()
            .map(|(machine_type, _)| f64::from(machine_type.cores) * machine_type.speed)
            .sum()
    }

    /// Zone of a server by its index and group, as its place in the network's list of zones.
    pub fn server_zone(&self, group: &ServerGroup, server: ServerIndex) -> u32 {
        let named = group
            .zone
            .as_ref()
            .and_then(|zone| self.network.zones.iter().position(|name| name == zone));
        named.map_or(self.spread_zone(server.index()), as_number)
    }

    /// Zone of a sidecar by its index: they are spread in turn.
    pub fn sidecar_zone(&self, sidecar: SidecarIndex) -> u32 {
        self.spread_zone(sidecar.index())
    }

    /// Zone of the server or sidecar at a place in its list, where they are spread in turn.
    fn spread_zone(&self, position: usize) -> u32 {
        let zones = self.network.zones.len().max(1);
        as_number(position % zones)
    }
}

/// A place in a list of zones or machine types as the number that balancers get. No file has so
/// many that the cast could cut it.
fn as_number(position: usize) -> u32 {
    position as u32
}
