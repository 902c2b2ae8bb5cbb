//! Executes the steps of a recording.

mod expectations;
mod process;
mod sending;

use std::thread;
use std::time::Duration;

use super::Harness;
use super::recording::Step;
use super::slow_server::SlowServer;

impl Harness {
    /// Executes one step of the recording.
    ///
    /// # Panics
    /// If an expected event does not occur, or the verb is unknown.
    pub(crate) fn step(&mut self, step: Step<'_>) {
        let Step { party, verb, text } = step;
        match verb {
            "send" => self.send_message(party, text),
            "connect" => drop(self.connection(party)),
            "part" => self.send_part(party, text),
            "fill" => self.send_repeatedly(party, text),
            "chunk" => self.send_chunk(party, text),
            "close" => self.close(party),
            "reset" => self.reset(party),
            "read" => self.record_message(party),
            "ready" => self.wait_until_ready(),
            "closed" => self.expect_close_or_reset(party),
            "ended" => self.record_connection_end(party),
            "within" => self.record_connection_within(party, text),
            "unsent" => self.record_bytes_until_end(party),
            "silent" => self.record_no_further_connection(party),
            "dialled" => self.wait_until_connecting(),
            "admit" => self
                .peers
                .slow_servers
                .iter_mut()
                .for_each(SlowServer::admit),
            "refill" => self
                .peers
                .slow_servers
                .iter_mut()
                .for_each(SlowServer::refill),
            "deny" => self.reject_polls(),
            "stop" => self.send_sigterm(),
            "halt" => self.halt(),
            "resume" => self.send_signal("-CONT"),
            "pause" => thread::sleep(parse_milliseconds(text)),
            "reload" => self.reload(text),
            "exit" => self.record_exit(text),
            other => panic!("unknown verb {other}"),
        }
    }
}

/// Parses a duration such as `250ms`.
fn parse_milliseconds(text: &str) -> Duration {
    let milliseconds = text
        .trim()
        .strip_suffix("ms")
        .and_then(|number| number.parse().ok())
        .expect("duration is in ms");
    Duration::from_millis(milliseconds)
}
