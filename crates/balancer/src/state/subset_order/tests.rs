use super::SubsetOrder;
use crate::state::EndpointTable;
use crate::{Endpoint, ServerId};

fn order(servers: u32, balancer_index: u32) -> Vec<usize> {
    let mut endpoints = EndpointTable::default();
    for n in 0..servers {
        let endpoint = Endpoint {
            cell: n / 4,
            ..Endpoint::ready(ServerId(n), u64::from(n) + 100)
        };
        endpoints.merge(endpoint, 0, 0);
    }
    let mut order = SubsetOrder::default();
    order.on_endpoints_updated(&endpoints, balancer_index);
    order.iter().map(|index| index.0).collect()
}

#[test]
fn order_lists_each_server_once_and_interleaves_the_cells() {
    let order = order(16, 3);
    let mut sorted = order.clone();
    sorted.sort_unstable();
    assert!(sorted.into_iter().eq(0..16));
    for round in order.chunks(4) {
        let mut cells: Vec<usize> = round.iter().map(|index| index / 4).collect();
        cells.sort_unstable();
        assert_eq!(cells, [0, 1, 2, 3], "{order:?}");
    }
}

#[test]
fn order_is_stable_and_differs_between_balancers() {
    assert_eq!(order(16, 3), order(16, 3));
    assert_ne!(order(16, 3), order(16, 4));
}
