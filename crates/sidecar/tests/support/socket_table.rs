//! Reads the kernel's table of TCP sockets, `/proc/net/tcp`, to observe the state of sockets in
//! another process.

use std::fs;
use std::net::SocketAddr;

/// Socket states as they appear in the table; the values are from the kernel's
/// `include/net/tcp_states.h`.
const ESTABLISHED: &str = "01";
const SYN_SENT: &str = "02";
const SYN_RECEIVED: &str = "03";
const FIN_WAIT_1: &str = "04";
const FIN_WAIT_2: &str = "05";

/// The states in which a socket has received neither an end of file nor a reset from its peer.
const PEER_OPEN: [&str; 4] = [ESTABLISHED, SYN_RECEIVED, FIN_WAIT_1, FIN_WAIT_2];

/// Whether some socket is connecting to the port.
pub(crate) fn has_pending_connect(port: u16) -> bool {
    let remote_port = format!(":{port:04X}");
    any_socket(|socket| socket.remote.ends_with(&remote_port) && socket.state == SYN_SENT)
}

/// Whether the end of file or the reset from `peer` has arrived at the socket `local`. Every byte
/// sent before an end of file has then arrived, too.
///
/// # Panics
/// If an address is not an IPv4 address.
pub(crate) fn has_end_arrived(local: SocketAddr, peer: SocketAddr) -> bool {
    let (local, remote) = (format_address(local), format_address(peer));
    !any_socket(|socket| {
        socket.local == local && socket.remote == remote && PEER_OPEN.contains(&socket.state)
    })
}

/// An entry of the table.
struct SocketEntry<'a> {
    local: &'a str,
    remote: &'a str,
    state: &'a str,
}

fn any_socket(matches: impl Fn(&SocketEntry<'_>) -> bool) -> bool {
    let table = fs::read_to_string("/proc/net/tcp").expect("socket table is readable");
    table
        .lines()
        .skip(1)
        .filter_map(parse_line)
        .any(|socket| matches(&socket))
}

/// Parses a line such as `3: 0100007F:C56B 0100007F:8ECE 01 ...`.
fn parse_line(line: &str) -> Option<SocketEntry<'_>> {
    let mut words = line.split_whitespace().skip(1);
    Some(SocketEntry {
        local: words.next()?,
        remote: words.next()?,
        state: words.next()?,
    })
}

/// Formats an address as in the table: the IPv4 address is one number in native byte order.
fn format_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is not an IPv4 address");
    };
    let number = u32::from_ne_bytes(address.ip().octets());
    format!("{number:08X}:{:04X}", address.port())
}
