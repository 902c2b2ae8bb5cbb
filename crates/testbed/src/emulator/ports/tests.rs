//! Each address is allocated once, from a block that this process has claimed.

use std::collections::HashSet;
use std::net::TcpListener;

use super::{BLOCK_SIZE, allocate_address, loopback};

#[test]
fn allocated_addresses_are_distinct_and_lie_in_claimed_blocks() {
    let ports: Vec<u16> = (0..1_200)
        .map(|_| allocate_address().expect("free").port())
        .collect();
    assert_eq!(ports.iter().collect::<HashSet<_>>().len(), ports.len());
    for port in ports {
        let first_of_block = port - port % BLOCK_SIZE;
        assert!(
            port != first_of_block && TcpListener::bind(loopback(first_of_block)).is_err(),
            "{port}"
        );
    }
}
