use proptest::prelude::*;

use super::*;

const SHARES: MemoryShares = MemoryShares {
    connections: 0,
    requests: 100,
    incomplete_requests: 50,
};

/// A request that holds memory, and an operation on one of them.
#[derive(Clone, Debug)]
enum Operation {
    Reserve { bytes: usize },
    Complete { request: usize, bytes: usize },
    End { request: usize },
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        (0..70_usize).prop_map(|bytes| Operation::Reserve { bytes }),
        (0..9_usize, 0..90_usize)
            .prop_map(|(request, bytes)| Operation::Complete { request, bytes }),
        (0..9_usize).prop_map(|request| Operation::End { request }),
    ]
}

fn held_for(requests: &[(MemoryPurpose, usize)], purpose: MemoryPurpose) -> usize {
    let of_purpose = requests.iter().filter(|(held_for, _)| *held_for == purpose);
    of_purpose.map(|(_, bytes)| bytes).sum()
}

proptest! {
    #[test]
    fn shares_hold_after_any_operations_and_reservations_equal_what_requests_hold(
        operations in prop::collection::vec(operation(), 0..60)
    ) {
        let mut budget = MemoryBudget::new(SHARES);
        let mut requests: Vec<(MemoryPurpose, usize)> = Vec::new();
        for operation in operations {
            match operation {
                Operation::Reserve { bytes } => {
                    if budget.try_reserve(MemoryPurpose::IncompleteRequest, bytes) {
                        requests.push((MemoryPurpose::IncompleteRequest, bytes));
                    }
                }
                Operation::Complete { request, bytes } => {
                    if let Some(held) = requests.get_mut(request)
                        && held.0 == MemoryPurpose::IncompleteRequest
                        && budget.try_complete(held.1, bytes)
                    {
                        *held = (MemoryPurpose::InFlightRequest, bytes);
                    }
                }
                Operation::End { request } => {
                    if request < requests.len() {
                        let (purpose, bytes) = requests.swap_remove(request);
                        budget.release(purpose, bytes);
                    }
                }
            }
            let incomplete = held_for(&requests, MemoryPurpose::IncompleteRequest);
            let in_flight = held_for(&requests, MemoryPurpose::InFlightRequest);
            prop_assert_eq!(budget.reserved(MemoryPurpose::IncompleteRequest), incomplete);
            prop_assert_eq!(budget.reserved(MemoryPurpose::InFlightRequest), in_flight);
            prop_assert!(incomplete <= SHARES.incomplete_requests);
            prop_assert!(incomplete + in_flight <= SHARES.requests);
        }
    }
}

#[test]
fn complete_requests_find_room_beside_incomplete_ones_that_hold_their_whole_share() {
    let mut budget = MemoryBudget::new(SHARES);
    assert!(budget.try_reserve(MemoryPurpose::IncompleteRequest, 50));
    assert!(!budget.try_reserve(MemoryPurpose::IncompleteRequest, 1));
    assert!(budget.try_reserve(MemoryPurpose::InFlightRequest, 50));
}

#[test]
fn smallest_limit_has_room_for_the_largest_request() {
    let shares = MemoryShares::of(1 << 10).with_room_for(1 << 20);
    let mut budget = MemoryBudget::new(shares);
    assert!(budget.try_reserve(MemoryPurpose::IncompleteRequest, 1 << 20));
    assert!(budget.try_complete(1 << 20, 1 << 20));
}
