//! The machine types of the fleet and their capacity.
//!
//! A type in the operator's table has the capacity stated there. Any other type has the mean
//! capacity of the table, or the balancer's default if there is no table. Each model name gets its
//! own id, in the order of first use, so that estimates for one machine apply to all machines of
//! its type. An empty name, and any name after the first `MAX_MACHINE_TYPES`, gets no own id.
//!
//! This module assigns the ids. The sidecar parses the operator's table, and the balancer owns the
//! estimates by machine type.

use std::collections::HashMap;

use arrowstand_balancer::MachineType;

use crate::convert::f64_from_count;

/// Maximum number of machine types with their own id; further types share [`UNTYPED_ID`]. Endpoint
/// lists come from the network, so a list of invented names would otherwise exhaust the memory. A
/// fleet has only a handful of types.
const MAX_MACHINE_TYPES: usize = 256;
/// Id shared by all machines whose type has no id of its own.
const UNTYPED_ID: u32 = 0;

/// The known machine types, by the platform's model names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineCatalogue {
    /// The types in the order of their ids.
    types: Vec<MachineType>,
    index_by_model: HashMap<String, usize>,
    /// Capacity of a type that is not in the operator's table.
    default_type: MachineType,
}

impl MachineCatalogue {
    /// Builds the catalogue from the operator's table. Its columns are the model name, the number
    /// of cores (concurrently executing requests) and the speed of a core (work per unit of time,
    /// relative to a standard core). Both numbers must be above zero. A type that is not in the
    /// table has the table's mean capacity.
    pub fn from_table(table: impl IntoIterator<Item = (String, f64, f64)>) -> Self {
        let mut catalogue = Self::default();
        for (model, cores, speed) in table {
            let capacity = MachineType {
                cores,
                speed,
                ..MachineType::default()
            };
            catalogue.add(model, capacity);
        }
        if !catalogue.types.is_empty() {
            catalogue.default_type = MachineType {
                id: UNTYPED_ID,
                cores: catalogue.mean(|machine| machine.cores),
                speed: catalogue.mean(|machine| machine.speed),
            };
        }
        catalogue
    }

    fn mean(&self, quantity: fn(&MachineType) -> f64) -> f64 {
        let count = f64_from_count(self.types.len());
        self.types.iter().map(quantity).sum::<f64>() / count
    }

    /// Adds a type under the next id. Ids start at 1; [`UNTYPED_ID`] is reserved.
    fn add(&mut self, model: String, capacity: MachineType) -> MachineType {
        let type_count = u32::try_from(self.types.len()).unwrap_or(u32::MAX);
        let machine = MachineType {
            id: type_count.saturating_add(1),
            ..capacity
        };
        // The first of several types with the same name counts.
        let index = self.types.len();
        self.index_by_model.entry(model).or_insert(index);
        self.types.push(machine);
        machine
    }

    /// Returns the machine type of a model name. An unknown name is added as a new type, up to
    /// `MAX_MACHINE_TYPES`; an empty name is never added.
    pub fn lookup(&mut self, model: &str) -> MachineType {
        let known = self.index_by_model.get(model);
        match known.and_then(|&index| self.types.get(index)) {
            Some(machine) => *machine,
            None if model.is_empty() || self.types.len() >= MAX_MACHINE_TYPES => self.default_type,
            None => self.add(model.to_owned(), self.default_type),
        }
    }
}

#[cfg(test)]
mod tests;
