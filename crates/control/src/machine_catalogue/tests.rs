use arrowstand_balancer::MachineType;
use proptest::prelude::*;

use super::{MAX_MACHINE_TYPES, MachineCatalogue};

#[test]
fn a_type_missing_from_the_table_counts_as_the_mean_under_its_own_id() {
    let mut catalogue =
        MachineCatalogue::from_table([("a".to_owned(), 2.0, 1.5), ("b".to_owned(), 4.0, 0.5)]);
    assert_eq!(
        catalogue.lookup("b"),
        MachineType {
            id: 2,
            cores: 4.0,
            speed: 0.5
        }
    );
    assert_eq!(
        catalogue.lookup("c"),
        MachineType {
            id: 3,
            cores: 3.0,
            speed: 1.0
        }
    );
    assert_eq!(catalogue.lookup("d").id, 4);
    assert_eq!((catalogue.lookup("c").id, catalogue.lookup("").id), (3, 0));
    assert_eq!(
        MachineCatalogue::default().lookup("a"),
        MachineType {
            id: 1,
            ..MachineType::default()
        }
    );
}

proptest! {
    /// Whatever names an endpoint list has, a name keeps its type and the catalogue is bounded.
    #[test]
    fn a_name_keeps_its_type(names in prop::collection::vec("[a-z]{0,3}", 0..600)) {
        let mut catalogue = MachineCatalogue::default();
        let first: Vec<MachineType> = names.iter().map(|name| catalogue.lookup(name)).collect();
        let again: Vec<MachineType> = names.iter().map(|name| catalogue.lookup(name)).collect();
        prop_assert_eq!(first, again);
        prop_assert!(catalogue.types.len() <= MAX_MACHINE_TYPES);
    }
}
