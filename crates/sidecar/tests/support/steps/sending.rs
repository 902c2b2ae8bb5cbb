//! Steps by which a peer sends something or ends its connection.

use std::io::Write as _;
use std::net::TcpStream;
use std::time::Duration;

use crate::support::network::address_of;
use crate::support::recording::Role;
use crate::support::slow_server::SlowServer;
use crate::support::socket_table::has_end_arrived;
use crate::support::{Harness, until};

/// What `{long}` stands for: more characters than a request's target may have.
const LONG_CHARS: usize = 9_000;
/// Bytes of a repeated text: more than the sidecar reads at once.
const REPEATED_BYTES: usize = 70_000;

impl Harness {
    /// Sends a message whose head has its line ends put right.
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

    /// Sends a text again and again; discovery does in one chunk.
    pub(super) fn send_repeatedly(&mut self, party: &str, text: &str) {
        let text = unescape(text);
        let repeated = text.repeat(REPEATED_BYTES / text.len());
        let is_discovery = Role::of(party) == Role::Discovery;
        let connection = self.connection(party);
        // A client's connection may be closed by now: that is the sidecar's right.
        let _ = if is_discovery {
            write!(connection, "{:x}\r\n{repeated}\r\n", repeated.len())
        } else {
            connection.write_all(repeated.as_bytes())
        };
    }

    /// Sends a chunk in which names of servers stand for their addresses.
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

    /// Closes a connection: the sidecar gets an end of file behind what was sent, or a reset where
    /// something is unread.
    pub(super) fn close(&mut self, party: &str) {
        let connection = self.connections.remove(party).expect("there");
        close_and_wait(connection);
    }

    /// Ends a connection by a reset.
    pub(super) fn reset(&mut self, party: &str) {
        let connection = self.connections.remove(party).expect("there");
        socket2::SockRef::from(&connection)
            .set_linger(Some(Duration::ZERO))
            .expect("no lingering");
        close_and_wait(connection);
    }

    fn send(&mut self, party: &str, bytes: &[u8]) {
        self.connection(party).write_all(bytes).expect("sent");
    }
}

fn unescape(text: &str) -> String {
    text.trim_end().replace("\\r", "\r").replace("\\n", "\n")
}

/// Closes a connection and waits until its end has arrived at the sidecar. A process that another
/// test of this program is just starting holds a copy of every socket until its `exec`, and the end
/// is sent as the last copy goes, which may be long after this program's own close.
fn close_and_wait(connection: TcpStream) {
    let sidecar = connection.peer_addr();
    let own = connection.local_addr();
    drop(connection);
    if let (Ok(sidecar), Ok(own)) = (sidecar, own) {
        until("the connection's end at the sidecar", || {
            has_end_arrived(sidecar, own).then_some(())
        });
    }
}
