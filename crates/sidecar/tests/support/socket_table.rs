//! The operating system's table of TCP sockets, `/proc/net/tcp`: what has happened to a connection
//! whose other end is in another process.

use std::fs;
use std::net::SocketAddr;

/// States of a socket as the table writes them, from the kernel's `include/net/tcp_states.h`.
const ESTABLISHED: &str = "01";
const SYN_SENT: &str = "02";
const SYN_RECEIVED: &str = "03";
const FIN_WAIT_1: &str = "04";
const FIN_WAIT_2: &str = "05";

/// The states in which a socket has not got its peer's end of file or reset.
const PEER_OPEN: [&str; 4] = [ESTABLISHED, SYN_RECEIVED, FIN_WAIT_1, FIN_WAIT_2];

/// True while some socket is connecting to that port.
pub(crate) fn is_dialled(port: u16) -> bool {
    let remote_port = format!(":{port:04X}");
    any_socket(|socket| socket.remote.ends_with(&remote_port) && socket.state == SYN_SENT)
}

/// True once the end of file or the reset that `peer` sends has arrived at the socket `local`, and
/// with an end of file every byte ahead of it.
///
/// # Panics
/// If an address is not of IPv4.
pub(crate) fn has_end_arrived(local: SocketAddr, peer: SocketAddr) -> bool {
    let (local, remote) = (in_table(local), in_table(peer));
    !any_socket(|socket| {
        socket.local == local && socket.remote == remote && PEER_OPEN.contains(&socket.state)
    })
}

/// One line of the table.
struct Socket<'a> {
    local: &'a str,
    remote: &'a str,
    state: &'a str,
}

fn any_socket(is_wanted: impl Fn(&Socket<'_>) -> bool) -> bool {
    let table = fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    table
        .lines()
        .skip(1)
        .filter_map(parse_line)
        .any(|socket| is_wanted(&socket))
}

/// Reads a line such as `3: 0100007F:C56B 0100007F:8ECE 01 ...`.
fn parse_line(line: &str) -> Option<Socket<'_>> {
    let mut words = line.split_whitespace().skip(1);
    Some(Socket {
        local: words.next()?,
        remote: words.next()?,
        state: words.next()?,
    })
}

/// An address as the table writes it: the IPv4 address as one number in the machine's byte order.
fn in_table(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is not of IPv4");
    };
    let number = u32::from_ne_bytes(address.ip().octets());
    format!("{number:08X}:{:04X}", address.port())
}
