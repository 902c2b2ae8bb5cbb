//! What the kinds of machine can do, from an operator's table: the platform names kinds and tells no sizes.

use heronlock::Machine;
use tinyjson::JsonValue;

use crate::json::{self, Node};

/// The table, by the platform's names. Kinds that it does not name count as its mean.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Machines(Vec<(String, Machine)>);

/// More cores or speed than this is taken for a slip of the pen.
const MOST: f64 = 10_000.0;

impl Machines {
    /// Reads the file of that name; the message names file, kind and key.
    pub fn load(path: &str) -> Result<Self, String> {
        let fault = |e: String| format!("ARROWSTAND_MACHINES: {path}: {e}");
        let text = std::fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
        Self::read(&text).map_err(fault)
    }

    /// Reads `[{"model": "fast-2", "cores": 2, "speed": 1.3}, ...]`.
    pub fn read(text: &str) -> Result<Self, String> {
        let value: JsonValue = json::parse(text, 8)?;
        let root = Node::root(&value);
        let mut machines = Vec::new();
        for (kind, item) in root.at("machines").items()?.into_iter().enumerate() {
            let number = |key: &str| {
                let node = item.at(key);
                let number = node.number()?;
                if number > 0.0 && number < MOST { Ok(number) } else { node.fault("must be above zero") }
            };
            // Number 0 is left to the kinds that are not named.
            let machine = Machine { kind: kind as u32 + 1, cores: number("cores")?, speed: number("speed")? };
            machines.push((item.at("model").text()?, machine));
        }
        Ok(Self(machines))
    }

    /// What a machine of that kind can do.
    pub fn of(&self, model: &str) -> Machine {
        if let Some((_, machine)) = self.0.iter().find(|(name, _)| name == model) {
            return *machine;
        }
        let mean = |of: fn(&Machine) -> f64| {
            let sum: f64 = self.0.iter().map(|(_, m)| of(m)).sum();
            if self.0.is_empty() { 1.0 } else { sum / self.0.len() as f64 }
        };
        Machine { kind: 0, cores: mean(|m| m.cores), speed: mean(|m| m.speed) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_kind_that_is_not_named_counts_as_the_mean() {
        let text = r#"{"machines": [{"model": "a", "cores": 2, "speed": 1.5}, {"model": "b", "cores": 4, "speed": 0.5}]}"#;
        let machines = Machines::read(text).expect("good");
        assert_eq!(machines.of("b"), Machine { kind: 2, cores: 4.0, speed: 0.5 });
        assert_eq!(machines.of("c"), Machine { kind: 0, cores: 3.0, speed: 1.0 });
        assert_eq!(Machines::default().of("a"), Machine::default());
    }

    #[test]
    fn the_table_that_is_deployed_can_be_read() {
        let machines = Machines::read(include_str!("../../deploy/machines.json")).expect("good");
        assert!(machines.of("std-3").cores > machines.of("slow-2").cores);
    }

    #[test]
    fn a_fault_names_the_key() {
        let bad = Machines::read(r#"{"machines": [{"model": "a", "cores": 0, "speed": 1}]}"#);
        assert!(bad.is_err_and(|e| e.contains("machines[0].cores")));
    }
}
