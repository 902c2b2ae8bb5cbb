//! Steps that wait for something from the sidecar, check it, or record it in the transcript.

use std::fmt::Write as _;
use std::io::{self, Read as _, Write as _};
use std::net::TcpStream;
use std::time::Instant;

use super::parse_milliseconds;
use crate::support::message::read_message;
use crate::support::slow_server::SlowServer;
use crate::support::{Harness, until};

/// The operating system's number of "connection reset by peer".
const ECONNRESET: i32 = 104;

impl Harness {
    /// Records the next message.
    pub(super) fn record_message(&mut self, party: &str) {
        let message = read_message(self.connection(party));
        self.record(&format!("{party} got:\n{message}"));
    }

    /// Waits until the sidecar knows servers.
    pub(super) fn wait_until_ready(&self) {
        until("ready", || {
            let mut connection =
                TcpStream::connect(&self.listen_address).expect("the program accepts");
            connection
                .write_all(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")
                .expect("sent");
            read_message(&mut connection)
                .starts_with("HTTP/1.1 200")
                .then_some(())
        });
    }

    /// Waits until the sidecar is connecting to a slow server.
    pub(super) fn wait_until_dialled(&self) {
        until("a dial", || {
            self.peers
                .slow_servers
                .iter()
                .any(SlowServer::is_dialled)
                .then_some(())
        });
    }

    /// Checks that a connection ends without a further byte, by an end of file or a reset.
    pub(super) fn expect_close_or_reset(&mut self, party: &str) {
        let mut bytes = [0; 64];
        match read_uninterrupted(self.connection(party), &mut bytes) {
            Ok(0) => {}
            Ok(read) => panic!(
                "{party} got more: {:?}",
                String::from_utf8_lossy(&bytes[..read])
            ),
            Err(error) => assert_eq!(error.raw_os_error(), Some(ECONNRESET), "{party}: {error}"),
        }
        self.record(&format!("{party} closed"));
    }

    /// Records how a connection ends: an end of file and nothing else, since a reset would take what
    /// was not read yet with it.
    pub(super) fn record_end_of_file(&mut self, party: &str) {
        let read = read_uninterrupted(self.connection(party), &mut [0; 64])
            .map_err(|error| error.to_string());
        self.record(&format!("{party} ended with {read:?}"));
    }

    /// Records that a connection comes up, and how many bytes come on it until its end.
    pub(super) fn record_end_without_bytes(&mut self, party: &str) {
        let read = self
            .connection(party)
            .read_to_end(&mut Vec::new())
            .map_err(|error| error.to_string());
        self.record(&format!("{party} ended with {read:?} bytes"));
    }

    /// Records whether the sidecar connects within a time.
    pub(super) fn record_connection_within(&mut self, party: &str, text: &str) {
        let longest = parse_milliseconds(text);
        let start = Instant::now();
        self.connection(party);
        let is_within = start.elapsed() <= longest;
        self.record(&format!("{party} came within {longest:?}: {is_within}"));
    }

    /// Records whether no server has got a further connection by this moment.
    pub(super) fn record_no_further_connection(&mut self, party: &str) {
        let is_none = self.peers.accept_at_servers().is_none();
        self.record(&format!("{party} no further connection: {is_none}"));
    }

    pub(super) fn record(&mut self, line: &str) {
        writeln!(self.transcript, "{line}").expect("written");
    }
}

/// Reads once. A signal to the test's process, such as that a child has ended, interrupts a read that
/// has a time-out; the read is repeated, since the sidecar sent nothing by it.
fn read_uninterrupted(connection: &mut TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match connection.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}
