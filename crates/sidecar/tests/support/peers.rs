//! The servers and the discovery that a sidecar under test connects to.

use std::net::{TcpListener, TcpStream};

use super::network::{ReservedAddress, address_of, bind_free_port};
use super::options::Options;
use super::slow_server::SlowServer;

/// The listeners to which the sidecar connects.
pub(super) struct Peers {
    /// Servers in the cached endpoint list, followed by those that are not in it yet.
    pub servers: Vec<TcpListener>,
    /// Servers whose connections are established late.
    pub slow_servers: Vec<SlowServer>,
    pub discovery: TcpListener,
    /// Discovery's second address, used after a reload.
    pub relocated_discovery: TcpListener,
    /// A discovery address for a reload, without a listener.
    pub refusing_discovery: ReservedAddress,
    /// The addresses in the cached endpoint list, in order.
    pub listed_addresses: Vec<String>,
    /// Reserves the addresses of the servers that refuse connections.
    _refusing_servers: Vec<ReservedAddress>,
}

impl Peers {
    /// Binds the listeners that the options specify.
    pub(super) fn bind(options: &Options) -> Self {
        let mut servers = build_many(options.servers, bind_free_port);
        let refusing_servers = build_many(options.refusing_servers, ReservedAddress::new);
        let slow_servers = build_many(options.slow_servers, SlowServer::new);
        let mut listed_addresses: Vec<String> = servers.iter().map(address_of).collect();
        listed_addresses.extend(
            refusing_servers
                .iter()
                .map(|server| server.address().to_owned()),
        );
        listed_addresses.extend(slow_servers.iter().map(SlowServer::address));
        servers.extend(build_many(options.unlisted_servers, bind_free_port));
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

    /// Accepts the next connection at any server, if there is one.
    pub(super) fn accept_at_servers(&self) -> Option<TcpStream> {
        self.servers
            .iter()
            .find_map(accept)
            .or_else(|| self.slow_servers.iter().find_map(SlowServer::accept))
    }

    /// Accepts the next connection at discovery, if there is one.
    pub(super) fn accept_at_discovery(&self) -> Option<TcpStream> {
        accept(&self.discovery)
    }

    /// Accepts the next connection at discovery's second address, if there is one.
    pub(super) fn accept_at_relocated_discovery(&self) -> Option<TcpStream> {
        accept(&self.relocated_discovery)
    }
}

fn build_many<T>(count: usize, build: impl Fn() -> T) -> Vec<T> {
    (0..count).map(|_| build()).collect()
}

fn accept(listener: &TcpListener) -> Option<TcpStream> {
    listener.accept().ok().map(|(stream, _)| stream)
}
