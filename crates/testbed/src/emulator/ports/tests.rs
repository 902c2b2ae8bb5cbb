//! Addresses are given out once, from marked blocks.

use std::collections::HashSet;
use std::net::TcpListener;

use super::{BLOCK_SIZE, free_address, loopback};

#[test]
fn addresses_differ_and_lie_in_blocks_that_nobody_else_can_mark() {
    let taken: Vec<u16> = (0..1_200)
        .map(|_| free_address().expect("free").port())
        .collect();
    assert_eq!(taken.iter().collect::<HashSet<_>>().len(), taken.len());
    for port in taken {
        let first = port - port % BLOCK_SIZE;
        assert!(
            port != first && TcpListener::bind(loopback(first)).is_err(),
            "{port}"
        );
    }
}
