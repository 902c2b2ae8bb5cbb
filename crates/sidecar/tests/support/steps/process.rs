//! Steps that control the sidecar's process, its configuration and the rejection of polls.

use std::fs;
use std::io::{Read as _, Write as _};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;

use super::parse_milliseconds;
use crate::support::network::address_of;
use crate::support::{Harness, POLL_INTERVAL, wait_for};

const REJECTION_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

impl Harness {
    /// Rejects each poll of discovery with a 503 from now on.
    pub(super) fn reject_polls(&self) {
        self.rejects_polls.store(true, Ordering::Relaxed);
        let listener = self
            .peers
            .discovery
            .try_clone()
            .expect("listener is duplicated");
        let rejects_polls = Arc::clone(&self.rejects_polls);
        thread::spawn(move || {
            while rejects_polls.load(Ordering::Relaxed) {
                let Ok((mut connection, _)) = listener.accept() else {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                };
                let _ = connection.set_nonblocking(false);
                let _ = connection.read(&mut [0; 1024]);
                let _ = connection.write_all(REJECTION_RESPONSE);
            }
        });
    }

    /// Sends a signal; `signal` is an option of the `kill` command, such as `-TERM`.
    pub(super) fn send_signal(&self, signal: &str) {
        let kill = Command::new("kill")
            .args([signal, &self.sidecar.id().to_string()])
            .status();
        assert!(kill.expect("kill runs").success());
    }

    /// Sends SIGSTOP and waits until the process has stopped. The signal takes effect some time
    /// after it is sent, and on a busy machine the sidecar would keep reading in the meantime.
    pub(super) fn halt(&self) {
        self.send_signal("-STOP");
        wait_for("the process to stop", || {
            let stat = fs::read_to_string(self.proc_file_path("stat")).ok()?;
            let (_, state) = stat.rsplit_once(") ")?;
            state.starts_with('T').then_some(())
        });
    }

    /// Sends SIGTERM and records when the first one was sent.
    pub(super) fn send_sigterm(&mut self) {
        self.send_signal("-TERM");
        self.sigterm_sent_at.get_or_insert_with(Instant::now);
    }

    /// Writes a new configuration and sends SIGHUP. Without a text the configuration has
    /// discovery's second address, with "refused" an address without a listener; any other text is
    /// the configuration itself.
    pub(super) fn reload(&self, text: &str) {
        let config = match text.trim() {
            "" => self.config_with_discovery(&address_of(&self.peers.relocated_discovery)),
            "refused" => self.config_with_discovery(self.peers.refusing_discovery.address()),
            _ => text.to_owned(),
        };
        fs::write(&self.config_path, config).expect("configuration is written");
        self.send_signal("-HUP");
    }

    /// Records the exit code and, if the text is a duration, whether the process exited within it
    /// after the first SIGTERM.
    pub(super) fn record_exit(&mut self, text: &str) {
        let status = wait_for("the exit of the process", || {
            self.sidecar.try_wait().expect("process is a child")
        });
        let mut line = format!("exit code {:?}", status.code());
        if !text.trim().is_empty() {
            let limit = parse_milliseconds(text);
            let elapsed = self.sigterm_sent_at.map(|sent_at| sent_at.elapsed());
            let is_within = elapsed.is_some_and(|elapsed| elapsed <= limit);
            let verdict = format!(", within {limit:?} of SIGTERM: {is_within}");
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
