//! Steps on the sidecar's process and its configuration, and on discovery as a whole.

use std::fs;
use std::io::{Read as _, Write as _};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;

use super::parse_milliseconds;
use crate::support::network::address_of;
use crate::support::{Harness, POLL_INTERVAL, until};

const REJECTED_POLL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

impl Harness {
    /// From now on each poll of discovery gets a 503.
    pub(super) fn reject_polls(&self) {
        self.rejects_polls.store(true, Ordering::Relaxed);
        let listener = self.peers.discovery.try_clone().expect("a second handle");
        let rejects_polls = Arc::clone(&self.rejects_polls);
        thread::spawn(move || {
            while rejects_polls.load(Ordering::Relaxed) {
                let Ok((mut connection, _)) = listener.accept() else {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                };
                let _ = connection.set_nonblocking(false);
                let _ = connection.read(&mut [0; 1024]);
                let _ = connection.write_all(REJECTED_POLL);
            }
        });
    }

    /// Sends a signal, as the `kill` command names it.
    pub(super) fn signal(&self, signal: &str) {
        let kill = Command::new("kill")
            .args([signal, &self.sidecar.id().to_string()])
            .status();
        assert!(kill.expect("kill runs").success());
    }

    /// Sends SIGSTOP and waits until the process has stopped: the signal takes effect some time after
    /// it was sent, and on a busy machine the sidecar would go on reading meanwhile.
    pub(super) fn halt(&self) {
        self.signal("-STOP");
        until("the halt", || {
            let stat = fs::read_to_string(self.process_file("stat")).ok()?;
            let (_, state) = stat.rsplit_once(") ")?;
            state.starts_with('T').then_some(())
        });
    }

    /// Sends SIGTERM.
    pub(super) fn stop(&mut self) {
        self.signal("-TERM");
        self.stopped_at.get_or_insert_with(Instant::now);
    }

    /// Writes a new configuration and sends SIGHUP. Without a text discovery is at its second
    /// address, with "refused" where nobody listens; any other text is the configuration itself.
    pub(super) fn reload(&self, text: &str) {
        let config = match text.trim() {
            "" => self.config_with_discovery(&address_of(&self.peers.relocated_discovery)),
            "refused" => self.config_with_discovery(self.peers.refusing_discovery.address()),
            _ => text.to_owned(),
        };
        fs::write(&self.config_path, config).expect("written");
        self.signal("-HUP");
    }

    /// Records the exit code and, where a time is given, whether it came within that after SIGTERM.
    pub(super) fn record_exit(&mut self, text: &str) {
        let status = until("the exit", || self.sidecar.try_wait().expect("a child"));
        let mut line = format!("exit code {:?}", status.code());
        if !text.trim().is_empty() {
            let longest = parse_milliseconds(text);
            let elapsed = self.stopped_at.map(|stopped_at| stopped_at.elapsed());
            let is_within = elapsed.is_some_and(|elapsed| elapsed <= longest);
            let verdict = format!(", within {longest:?} of SIGTERM: {is_within}");
            line.push_str(&verdict);
        }
        self.record(&line);
    }

    fn config_with_discovery(&self, address: &str) -> String {
        self.config.replace(
            r#""discovery":"127.0.0.1:1""#,
            &format!(r#""discovery":"{address}""#),
        )
    }
}
