//! The steps of a recording, one verb each.

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
    /// If what it waits for does not come, or the verb is unknown.
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
            "ended" => self.record_end_of_file(party),
            "within" => self.record_connection_within(party, text),
            "unsent" => self.record_end_without_bytes(party),
            "silent" => self.record_no_further_connection(party),
            "dialled" => self.wait_until_dialled(),
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
            "stop" => self.stop(),
            "halt" => self.halt(),
            "resume" => self.signal("-CONT"),
            "pause" => thread::sleep(parse_milliseconds(text)),
            "reload" => self.reload(text),
            "exit" => self.record_exit(text),
            other => panic!("unknown verb {other}"),
        }
    }
}

/// A time such as `250ms`.
fn parse_milliseconds(text: &str) -> Duration {
    let milliseconds = text
        .trim()
        .strip_suffix("ms")
        .and_then(|number| number.parse().ok())
        .expect("a time in ms");
    Duration::from_millis(milliseconds)
}
