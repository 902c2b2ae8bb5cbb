//! Free loopback addresses, from blocks of ports that no other emulator on this machine takes from.
//!
//! Owns the blocks of this process, which it keeps until it ends. Who listens on an address is not
//! known here.

#[cfg(test)]
mod tests;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

use tokio::net::TcpSocket;

use super::error::EmulatorError;
use super::lock::lock;

/// The first port, below the range from which the system takes its own: a port that is given up for
/// a while must not be taken by an outgoing connection.
const FIRST_PORT: u16 = 12_000;
/// Ports of a block; the first one marks it.
const BLOCK_SIZE: u16 = 1_000;
/// Number of blocks, up to the system's own range.
const BLOCKS: u16 = 20;
/// Ports of a block that are given out.
const PORTS_PER_BLOCK: u16 = BLOCK_SIZE - 1;

/// A block that is this process's.
struct Block {
    /// Listens on the block's first port, so that no other process takes the block.
    _mark: TcpListener,
    first_port: u16,
}

/// The blocks of this process, and the next port to be given out.
struct Ports {
    blocks: Vec<Block>,
    next: usize,
}

static PORTS: Mutex<Ports> = Mutex::new(Ports {
    blocks: Vec::new(),
    next: 0,
});

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn take_block() -> Option<Block> {
    let mut first_ports = (0..BLOCKS).map(|block| FIRST_PORT + block * BLOCK_SIZE);
    first_ports.find_map(|first_port| {
        let mark = TcpListener::bind(loopback(first_port)).ok()?;
        Some(Block {
            _mark: mark,
            first_port,
        })
    })
}

/// Tries an address without listening there: a sidecar that is started in that very moment holds a
/// copy of every socket up to its exec, and a copy that listens would keep the address from its
/// user.
fn is_free(address: SocketAddr) -> bool {
    let bound = TcpSocket::new_v4().and_then(|socket| {
        socket
            .set_reuseaddr(true)
            .and_then(|()| socket.bind(address))
    });
    bound.is_ok()
}

impl Ports {
    /// The next address in turn, from a new block once the present ones are used up, and from the
    /// first block again once there are no more; nothing if there is no block at all.
    fn next_address(&mut self) -> Option<SocketAddr> {
        let ports_per_block = usize::from(PORTS_PER_BLOCK);
        if self.next / ports_per_block >= self.blocks.len() {
            match take_block() {
                Some(block) => self.blocks.push(block),
                None => self.next = 0,
            }
        }
        let block = self.blocks.get(self.next / ports_per_block)?;
        let offset = 1 + u16::try_from(self.next % ports_per_block).ok()?;
        self.next += 1;
        Some(loopback(block.first_port + offset))
    }
}

/// A free loopback address, from a block that no other process takes from: another emulator on this
/// machine cannot be given the same one before somebody listens there.
///
/// # Errors
/// Where all ports are used.
pub(super) fn free_address() -> Result<SocketAddr, EmulatorError> {
    let mut ports = lock(&PORTS);
    for _ in 0..usize::from(PORTS_PER_BLOCK) * usize::from(BLOCKS) {
        match ports.next_address() {
            Some(address) if is_free(address) => return Ok(address),
            Some(_) => {}
            None => break,
        }
    }
    Err(EmulatorError::NoFreePort)
}
