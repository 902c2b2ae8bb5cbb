use arrowstand_balancer::MachineType;
use proptest::prelude::*;

use super::{MAX_MACHINE_TYPES, MachineCatalogue};

/// Returns a catalogue of two types with a mean of 3 cores and a mean speed of 1.
fn catalogue_of_two_types() -> MachineCatalogue {
    MachineCatalogue::from_table([("a".to_owned(), 2.0, 1.5), ("b".to_owned(), 4.0, 0.5)])
}

#[test]
fn a_type_in_the_table_has_the_stated_capacity() {
    let machine = catalogue_of_two_types().lookup("b");

    let expected = MachineType {
        id: 2,
        cores: 4.0,
        speed: 0.5,
    };
    assert_eq!(machine, expected);
}

#[test]
fn a_type_missing_from_the_table_has_the_mean_capacity_and_its_own_id() {
    let mut catalogue = catalogue_of_two_types();

    let first = catalogue.lookup("c");
    let second = catalogue.lookup("d");
    let first_again = catalogue.lookup("c");

    let mean = MachineType {
        id: 3,
        cores: 3.0,
        speed: 1.0,
    };
    assert_eq!(first, mean);
    assert_eq!(second.id, 4);
    assert_eq!(first_again.id, 3);
}

#[test]
fn a_machine_without_a_type_has_no_id_of_its_own() {
    let mut catalogue = catalogue_of_two_types();
    catalogue.lookup("c");

    let machine = catalogue.lookup("");

    assert_eq!(machine.id, 0);
}

#[test]
fn without_a_table_a_type_has_the_default_capacity() {
    let machine = MachineCatalogue::default().lookup("a");

    let expected = MachineType {
        id: 1,
        ..MachineType::default()
    };
    assert_eq!(machine, expected);
}

proptest! {
    /// For any sequence of names: a name always has the same type, and the catalogue is bounded.
    #[test]
    fn a_name_always_has_the_same_type(names in prop::collection::vec("[a-z]{0,3}", 0..600)) {
        let mut catalogue = MachineCatalogue::default();
        let first: Vec<MachineType> = names.iter().map(|name| catalogue.lookup(name)).collect();
        let again: Vec<MachineType> = names.iter().map(|name| catalogue.lookup(name)).collect();
        prop_assert_eq!(first, again);
        prop_assert!(catalogue.types.len() <= MAX_MACHINE_TYPES);
    }
}
