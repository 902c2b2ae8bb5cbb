//! Steps that wait for events at the sidecar, check them, or record them in the transcript.

use std::fmt::Write as _;
use std::io::{self, Read as _, Write as _};
use std::net::TcpStream;
use std::time::Instant;

use super::parse_milliseconds;
use crate::support::message::read_message;
use crate::support::slow_server::SlowServer;
use crate::support::{Harness, wait_for};

/// Error number of "connection reset by peer" on Linux.
const ECONNRESET: i32 = 104;

impl Harness {
    /// Reads the next message and records it.
    pub(super) fn record_message(&mut self, party: &str) {
        let message = read_message(self.connection(party));
        self.record(&format!("{party} got:\n{message}"));
    }

    /// Waits until `GET /ready` gets a 200.
    pub(super) fn wait_until_ready(&self) {
        wait_for("the sidecar to be ready", || {
            let mut connection = TcpStream::connect(&self.listen_address).expect("sidecar accepts");
            connection
                .write_all(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")
                .expect("request is sent");
            read_message(&mut connection)
                .starts_with("HTTP/1.1 200")
                .then_some(())
        });
    }

    /// Waits until the sidecar is connecting to a slow server.
    pub(super) fn wait_until_connecting(&self) {
        wait_for("a connect to a slow server", || {
            self.peers
                .slow_servers
                .iter()
                .any(SlowServer::has_pending_connect)
                .then_some(())
        });
    }

    /// Checks that a connection ends without a further byte, with an end of file or a reset.
    pub(super) fn expect_close_or_reset(&mut self, party: &str) {
        let mut bytes = [0; 64];
        match read_retrying_interrupts(self.connection(party), &mut bytes) {
            Ok(0) => {}
            Ok(read) => panic!(
                "{party} got further bytes: {:?}",
                String::from_utf8_lossy(&bytes[..read])
            ),
            Err(error) => assert_eq!(error.raw_os_error(), Some(ECONNRESET), "{party}: {error}"),
        }
        self.record(&format!("{party} closed"));
    }

    /// Records how a connection ends. It should be an end of file without further bytes: a reset
    /// would discard bytes that have not been read yet.
    pub(super) fn record_connection_end(&mut self, party: &str) {
        let read = read_retrying_interrupts(self.connection(party), &mut [0; 64])
            .map_err(|error| error.to_string());
        self.record(&format!("{party} ended with {read:?}"));
    }

    /// Records that a connection is established, and how many bytes arrive on it until its end.
    pub(super) fn record_bytes_until_end(&mut self, party: &str) {
        let read = self
            .connection(party)
            .read_to_end(&mut Vec::new())
            .map_err(|error| error.to_string());
        self.record(&format!("{party} ended with {read:?} bytes"));
    }

    /// Records whether the sidecar connects within a duration.
    pub(super) fn record_connection_within(&mut self, party: &str, text: &str) {
        let limit = parse_milliseconds(text);
        let start = Instant::now();
        self.connection(party);
        let is_within = start.elapsed() <= limit;
        self.record(&format!("{party} came within {limit:?}: {is_within}"));
    }

    /// Records whether no server has got a further connection so far.
    pub(super) fn record_no_further_connection(&mut self, party: &str) {
        let is_none = self.peers.accept_at_servers().is_none();
        self.record(&format!("{party} no further connection: {is_none}"));
    }

    pub(super) fn record(&mut self, line: &str) {
        writeln!(self.transcript, "{line}").expect("transcript is written");
    }
}

/// Reads once, and retries if the read is interrupted: a signal to the test's process, such as the
/// SIGCHLD of a child that has exited, interrupts a read with a timeout.
fn read_retrying_interrupts(connection: &mut TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match connection.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}
