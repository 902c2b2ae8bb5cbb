//! The servers and the discovery that a sidecar under test connects to.

use std::net::{TcpListener, TcpStream};

use super::network::{ReservedAddress, address_of, bind_free_port};
use super::options::Options;
use super::slow_server::SlowServer;

/// Everything that listens for the sidecar.
pub(super) struct Peers {
    /// Servers in the cached endpoint list, then those in no list yet.
    pub servers: Vec<TcpListener>,
    /// Servers whose connections come up late.
    pub slow_servers: Vec<SlowServer>,
    pub discovery: TcpListener,
    /// Where discovery is after a reload.
    pub relocated_discovery: TcpListener,
    /// Where discovery is after a reload, without listening there.
    pub refusing_discovery: ReservedAddress,
    /// The addresses of the cached endpoint list, in its order.
    pub listed_addresses: Vec<String>,
    /// Keeps the addresses of servers that refuse connections.
    _refusing_servers: Vec<ReservedAddress>,
}

impl Peers {
    /// The peers that the options ask for.
    pub(super) fn bind(options: &Options) -> Self {
        let mut servers = many(options.servers, bind_free_port);
        let refusing_servers = many(options.refusing_servers, ReservedAddress::new);
        let slow_servers = many(options.slow_servers, SlowServer::new);
        let mut listed_addresses: Vec<String> = servers.iter().map(address_of).collect();
        listed_addresses.extend(
            refusing_servers
                .iter()
                .map(|server| server.address().to_owned()),
        );
        listed_addresses.extend(slow_servers.iter().map(SlowServer::address));
        servers.extend(many(options.unlisted_servers, bind_free_port));
        Self {
            servers,
            slow_servers,
            discovery: bind_free_port(),
            relocated_discovery: bind_free_port(),
            refusing_discovery: ReservedAddress::new(),
            listed_addresses,
            _refusing_servers: refusing_servers,
        }
    }

    /// The next connection that came up at any server.
    pub(super) fn accept_at_servers(&self) -> Option<TcpStream> {
        self.servers
            .iter()
            .find_map(accept)
            .or_else(|| self.slow_servers.iter().find_map(SlowServer::accept))
    }

    /// The next connection that came up at discovery.
    pub(super) fn accept_at_discovery(&self) -> Option<TcpStream> {
        accept(&self.discovery)
    }

    /// The next connection that came up at discovery's second address.
    pub(super) fn accept_at_relocated_discovery(&self) -> Option<TcpStream> {
        accept(&self.relocated_discovery)
    }
}

fn many<T>(count: usize, make: impl Fn() -> T) -> Vec<T> {
    (0..count).map(|_| make()).collect()
}

fn accept(listener: &TcpListener) -> Option<TcpStream> {
    listener.accept().ok().map(|(stream, _)| stream)
}
