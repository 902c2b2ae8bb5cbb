//! What kinds of machine there are and what they can do: told by the operator for the kinds that he names, and
//! unknown for the others, which only get a number, so that what is learnt of one machine counts for its like.

use arrowstand_balancer::MachineType;

/// Kinds that get a number of their own. Guards against memory that grows with whatever a list says.
const KINDS_MOST: usize = 256;

/// The kinds, by the platform's names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineCatalogue {
    kinds: Vec<(String, MachineType)>,
    /// What a kind that was not told counts as.
    usual: MachineType,
}

impl MachineCatalogue {
    /// From the operator's table: name, cores that work at a time, and work per time of one core against a usual
    /// one, both above zero. A kind that the table does not name counts as its mean.
    pub fn from_table(table: impl IntoIterator<Item = (String, f64, f64)>) -> Self {
        let mut machines = Self::default();
        for (model, cores, speed) in table {
            machines.add(
                model,
                MachineType {
                    cores,
                    speed,
                    ..MachineType::default()
                },
            );
        }
        let count = machines.kinds.len() as f64;
        if count > 0.0 {
            let mean = |of: fn(&MachineType) -> f64| {
                machines.kinds.iter().map(|(_, m)| of(m)).sum::<f64>() / count
            };
            machines.usual = MachineType {
                id: 0,
                cores: mean(|m| m.cores),
                speed: mean(|m| m.speed),
            };
        }
        machines
    }

    fn add(&mut self, model: String, machine: MachineType) -> MachineType {
        // Number 0 is left to what has no kind of its own.
        let machine = MachineType {
            id: self.kinds.len() as u32 + 1,
            ..machine
        };
        self.kinds.push((model, machine));
        machine
    }

    /// What a machine of that kind can do; a new name becomes a kind. No name is none.
    pub fn lookup(&mut self, model: &str) -> MachineType {
        match self.kinds.iter().find(|(name, _)| name == model) {
            Some((_, machine)) => *machine,
            None if model.is_empty() || self.kinds.len() >= KINDS_MOST => self.usual,
            None => self.add(model.to_owned(), self.usual),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_kind_that_was_not_told_counts_as_the_mean_and_as_one_of_its_own() {
        let mut machines =
            MachineCatalogue::from_table([("a".to_owned(), 2.0, 1.5), ("b".to_owned(), 4.0, 0.5)]);
        assert_eq!(
            machines.lookup("b"),
            MachineType {
                id: 2,
                cores: 4.0,
                speed: 0.5
            }
        );
        assert_eq!(
            machines.lookup("c"),
            MachineType {
                id: 3,
                cores: 3.0,
                speed: 1.0
            }
        );
        assert_eq!(machines.lookup("d").id, 4);
        assert_eq!((machines.lookup("c").id, machines.lookup("").id), (3, 0));
        assert_eq!(
            MachineCatalogue::default().lookup("a"),
            MachineType {
                id: 1,
                ..MachineType::default()
            }
        );
    }

    proptest! {
        /// Whatever names a list brings, a name keeps its kind and what is kept is bounded.
        #[test]
        fn a_name_keeps_its_kind(names in prop::collection::vec("[a-z]{0,3}", 0..600)) {
            let mut machines = MachineCatalogue::default();
            let first: Vec<MachineType> = names.iter().map(|n| machines.lookup(n)).collect();
            let again: Vec<MachineType> = names.iter().map(|n| machines.lookup(n)).collect();
            prop_assert_eq!(first, again);
            prop_assert!(machines.kinds.len() <= KINDS_MOST);
        }
    }
}
