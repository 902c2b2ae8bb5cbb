//! Reads the operator's table of the kinds of machine: the platform names kinds and tells no sizes.

use arrowstand_control::MachineCatalogue;
use tinyjson::JsonValue;

use crate::json::{self, Node};

/// More cores or speed than this is taken for a slip of the pen.
const MOST: f64 = 10_000.0;

/// Reads the file of that name; the message names file, kind and key.
pub fn load(path: &str) -> Result<MachineCatalogue, String> {
    let fault = |e: String| format!("ARROWSTAND_MACHINES: {path}: {e}");
    let text = std::fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
    read(&text).map_err(fault)
}

/// Reads `{"machines": [{"model": "fast-2", "cores": 2, "speed": 1.3}, ...]}`.
fn read(text: &str) -> Result<MachineCatalogue, String> {
    let value: JsonValue = json::parse(text, 8)?;
    let list = Node::root(&value).at("machines");
    // Guards against a table whose one key is misspelt and that is then taken for an empty one.
    if !list.present() {
        return list.fault("is missing");
    }
    let mut table: Vec<(String, f64, f64)> = Vec::new();
    for item in list.items()? {
        let number = |key: &str| {
            let node = item.at(key);
            let number = node.number()?;
            let fits = number > 0.0 && number < MOST;
            if fits {
                Ok(number)
            } else {
                node.fault(&format!("must be above zero and below {MOST}"))
            }
        };
        let model = item.at("model");
        let line = (model.text()?, number("cores")?, number("speed")?);
        if line.0.is_empty() || table.iter().any(|(name, ..)| *name == line.0) {
            return model.fault(&format!("{:?} is empty or there twice", line.0));
        }
        table.push(line);
    }
    Ok(MachineCatalogue::from_table(table))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_example_table_can_be_read() {
        let mut machines = read(include_str!("../../../examples/machines.json")).expect("good");
        assert!(machines.lookup("std-3").cores > machines.lookup("slow-2").cores);
    }

    #[test]
    fn a_fault_names_the_key() {
        let line = r#"{"model": "a", "cores": 2, "speed": 1}"#;
        for (text, told) in [
            (
                r#"{"machines": [{"model": "a", "cores": 0, "speed": 1}]}"#.to_owned(),
                "machines[0].cores: must",
            ),
            (
                r#"{"machines": [{"model": "a", "cores": 2}]}"#.to_owned(),
                "machines[0].speed: is missing",
            ),
            (
                format!(r#"{{"machines": [{line}, {line}]}}"#),
                "machines[1].model: \"a\"",
            ),
            (r#"{"machine": []}"#.to_owned(), "machines: is missing"),
        ] {
            let fault = read(&text).expect_err(told);
            assert!(fault.contains(told), "{fault}");
        }
    }
}
