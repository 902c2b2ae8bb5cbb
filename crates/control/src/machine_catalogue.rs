//! The machine types of the fleet and their capacity.
//!
//! A type in the operator's table has the capacity stated there. Any other type counts as the mean
//! of the table, or as the balancer's default without a table. Each name has an id of its own, in
//! the order in which names are first seen, so that what is learnt of one machine applies to all of
//! its type; an empty name, and one that comes after `MAX_MACHINE_TYPES` others, has none.
//!
//! Owns the numbering of the types; the format of the operator's table is read by the sidecar, and
//! what is learnt by type is kept by the balancer.

use arrowstand_balancer::MachineType;

use crate::convert::f64_from_count;

/// Machine types that get an id of their own. Endpoint lists come from the network, and a list that
/// invented names would otherwise fill the memory; types beyond the bound share the id of machines
/// without one. A fleet has a handful of types, so the bound is far above any real one.
const MAX_MACHINE_TYPES: usize = 256;
/// Id of machines without a type of their own.
const NO_TYPE_ID: u32 = 0;

/// The known machine types, by the platform's model names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineCatalogue {
    types: Vec<(String, MachineType)>,
    /// What a type counts as that the operator's table does not name.
    unlisted: MachineType,
}

impl MachineCatalogue {
    /// Builds the catalogue from the operator's table: model name, cores (requests that run at a
    /// time) and speed (work per time of one core, relative to an average one), both above zero. A
    /// type that the table does not name counts as the mean of the table.
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
            catalogue.unlisted = MachineType {
                id: NO_TYPE_ID,
                cores: catalogue.mean(|machine| machine.cores),
                speed: catalogue.mean(|machine| machine.speed),
            };
        }
        catalogue
    }

    fn mean(&self, of: fn(&MachineType) -> f64) -> f64 {
        let count = f64_from_count(self.types.len());
        self.types
            .iter()
            .map(|(_, machine)| of(machine))
            .sum::<f64>()
            / count
    }

    /// Adds a type under the next id; [`NO_TYPE_ID`] is never given out.
    fn add(&mut self, model: String, capacity: MachineType) -> MachineType {
        let types_before = u32::try_from(self.types.len()).unwrap_or(u32::MAX);
        let machine = MachineType {
            id: types_before.saturating_add(1),
            ..capacity
        };
        self.types.push((model, machine));
        machine
    }

    /// The machine type of a model name. An unknown name becomes a type of its own, up to a bound;
    /// an empty name has none.
    pub fn lookup(&mut self, model: &str) -> MachineType {
        let known = self.types.iter().find(|(name, _)| name == model);
        match known {
            Some((_, machine)) => *machine,
            None if model.is_empty() || self.types.len() >= MAX_MACHINE_TYPES => self.unlisted,
            None => self.add(model.to_owned(), self.unlisted),
        }
    }
}

#[cfg(test)]
mod tests;
