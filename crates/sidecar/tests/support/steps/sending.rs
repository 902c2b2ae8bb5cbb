//! Steps in which a party sends data or ends its connection.

use std::io::Write as _;
use std::net::TcpStream;
use std::time::Duration;

use crate::support::network::address_of;
use crate::support::recording::Role;
use crate::support::slow_server::SlowServer;
use crate::support::socket_table::has_end_arrived;
use crate::support::{Harness, wait_for};

/// Number of characters that replace `{long}`: more than a request target may have.
const LONG_CHARS: usize = 9_000;
/// Size of a repeated text: more than the sidecar reads at once.
const REPEATED_BYTES: usize = 70_000;

impl Harness {
    /// Sends a message; the lines of its head end in CRLF on the wire.
    pub(super) fn send_message(&mut self, party: &str, text: &str) {
        let text = &text.replace("{long}", &"x".repeat(LONG_CHARS));
        let (head, body) = text.split_once("\n\n").unwrap_or((text, ""));
        let head = head.trim_end().replace('\n', "\r\n");
        self.send(party, format!("{head}\r\n\r\n{body}").as_bytes());
    }

    /// Sends a part of a message, byte for byte.
    pub(super) fn send_part(&mut self, party: &str, text: &str) {
        self.send(party, unescape(text).as_bytes());
    }

    /// Sends a text repeatedly; discovery sends the result as one chunk.
    pub(super) fn send_repeatedly(&mut self, party: &str, text: &str) {
        let text = unescape(text);
        let repeated = text.repeat(REPEATED_BYTES / text.len());
        let is_discovery = Role::of(party) == Role::Discovery;
        let connection = self.connection(party);
        // A failure is ignored: the sidecar may have closed the connection.
        let _ = if is_discovery {
            write!(connection, "{:x}\r\n{repeated}\r\n", repeated.len())
        } else {
            connection.write_all(repeated.as_bytes())
        };
    }

    /// Sends an HTTP chunk in which placeholders are replaced by the addresses of servers.
    pub(super) fn send_chunk(&mut self, party: &str, text: &str) {
        let first = self
            .peers
            .servers
            .first()
            .map(address_of)
            .unwrap_or_default();
        let last = self
            .peers
            .servers
            .last()
            .map(address_of)
            .unwrap_or_default();
        let slow = self.peers.slow_servers.first().map(SlowServer::address);
        let text = text
            .replace("{S}", &first)
            .replace("{spare}", &last)
            .replace("{slow}", &slow.unwrap_or_default())
            .replace("\\n", "\n");
        self.send(party, format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }

    /// Closes a connection: the sidecar gets an end of file after the sent bytes, or a reset if
    /// received bytes are unread.
    pub(super) fn close(&mut self, party: &str) {
        let connection = self.connections.remove(party).expect("connection is open");
        close_and_wait(connection);
    }

    /// Ends a connection with a reset.
    pub(super) fn reset(&mut self, party: &str) {
        let connection = self.connections.remove(party).expect("connection is open");
        socket2::SockRef::from(&connection)
            .set_linger(Some(Duration::ZERO))
            .expect("linger time is set");
        close_and_wait(connection);
    }

    fn send(&mut self, party: &str, bytes: &[u8]) {
        self.connection(party)
            .write_all(bytes)
            .expect("bytes are sent");
    }
}

fn unescape(text: &str) -> String {
    text.trim_end().replace("\\r", "\r").replace("\\n", "\n")
}

/// Closes a connection and waits until its end has arrived at the sidecar. A process that another
/// test of this program is starting holds a copy of every socket until its `exec`. The kernel sends
/// the end only when the last copy is closed, which may be long after the close here.
fn close_and_wait(connection: TcpStream) {
    let sidecar_address = connection.peer_addr();
    let own_address = connection.local_addr();
    drop(connection);
    if let (Ok(sidecar_address), Ok(own_address)) = (sidecar_address, own_address) {
        wait_for("the connection's end at the sidecar", || {
            has_end_arrived(sidecar_address, own_address).then_some(())
        });
    }
}
