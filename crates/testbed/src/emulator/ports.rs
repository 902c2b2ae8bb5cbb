//! Allocates free loopback ports, from blocks that are exclusive to this process.
//!
//! A process claims a block by listening on its first port and keeps it until it exits, so that
//! emulators that run at the same time on one machine never allocate the same port.

#[cfg(test)]
mod tests;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

use tokio::net::TcpSocket;

use super::error::EmulatorError;
use super::lock::lock;

/// First port of the first block. All blocks lie below the system's ephemeral port range: while an
/// emulated server is down, no outgoing connection may take its port.
const FIRST_PORT: u16 = 12_000;
/// Number of ports in a block, including the first, which marks the block as claimed.
const BLOCK_SIZE: u16 = 1_000;
/// Number of blocks that fit below the ephemeral port range.
const BLOCK_COUNT: u16 = 20;
/// Number of ports in a block that can be allocated.
const ALLOCATABLE_PER_BLOCK: u16 = BLOCK_SIZE - 1;

/// A block of ports that this process has claimed.
struct PortBlock {
    /// Listens on the block's first port, so that no other process can claim the block.
    _claim: TcpListener,
    first_port: u16,
}

/// Allocates the ports of this process's blocks in turn.
struct PortAllocator {
    blocks: Vec<PortBlock>,
    /// Index of the next port to try, counted over the allocatable ports of all blocks.
    next_index: usize,
}

static ALLOCATOR: Mutex<PortAllocator> = Mutex::new(PortAllocator {
    blocks: Vec::new(),
    next_index: 0,
});

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Claims the first block that no process has claimed; `None` if there is none.
fn claim_block() -> Option<PortBlock> {
    let mut first_ports = (0..BLOCK_COUNT).map(|block| FIRST_PORT + block * BLOCK_SIZE);
    first_ports.find_map(|first_port| {
        let claim = TcpListener::bind(loopback(first_port)).ok()?;
        Some(PortBlock {
            _claim: claim,
            first_port,
        })
    })
}

/// Whether an address can be bound, tried without listening on it: a sidecar process that is being
/// forked at the same time inherits every socket until its exec, and an inherited listening socket
/// would keep the address in use.
fn is_free(address: SocketAddr) -> bool {
    let bound = TcpSocket::new_v4().and_then(|socket| {
        socket
            .set_reuseaddr(true)
            .and_then(|()| socket.bind(address))
    });
    bound.is_ok()
}

impl PortAllocator {
    /// Returns the next candidate address, which may be in use. Claims a new block once the present
    /// ones are used up. If no block is left to claim, starts over at this process's first block;
    /// returns `None` if it has no block at all.
    fn next_candidate(&mut self) -> Option<SocketAddr> {
        let per_block = usize::from(ALLOCATABLE_PER_BLOCK);
        if self.next_index / per_block >= self.blocks.len() {
            match claim_block() {
                Some(block) => self.blocks.push(block),
                None => self.next_index = 0,
            }
        }
        let block = self.blocks.get(self.next_index / per_block)?;
        let offset = 1 + u16::try_from(self.next_index % per_block).ok()?;
        self.next_index += 1;
        Some(loopback(block.first_port + offset))
    }
}

/// Allocates a free loopback address from a block of this process: no other emulator on this
/// machine can be given the same address before the caller listens on it.
///
/// # Errors
/// If all ports are in use.
pub(crate) fn allocate_address() -> Result<SocketAddr, EmulatorError> {
    let mut allocator = lock(&ALLOCATOR);
    for _ in 0..usize::from(ALLOCATABLE_PER_BLOCK) * usize::from(BLOCK_COUNT) {
        match allocator.next_candidate() {
            Some(address) if is_free(address) => return Ok(address),
            Some(_) => {}
            None => break,
        }
    }
    Err(EmulatorError::NoFreePort)
}
