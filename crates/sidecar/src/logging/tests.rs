use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use super::*;

/// Writer that keeps the log output in memory.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the lines logged while `log` runs, without their timestamps.
fn logged_lines(log: impl FnOnce()) -> Vec<String> {
    let buffer = SharedBuffer::default();
    let writer = buffer.clone();
    let logger = subscriber(move || writer.clone());
    tracing::subscriber::with_default(logger, log);
    let bytes = buffer.0.lock().expect("not poisoned").clone();
    let text = String::from_utf8(bytes).expect("text");
    let without_time = |line: &str| line.split_once("Z ").expect("a time").1.trim().to_owned();
    text.lines().map(without_time).collect()
}

#[test]
fn line_has_level_and_message_followed_by_the_fields() {
    let error = io::Error::other("disk full");
    let lines = logged_lines(|| tracing::warn!(server = 7, %error, "something failed"));
    assert_eq!(lines, ["WARN something failed server=7 error=disk full"]);
}

#[test]
fn debug_events_and_actix_http_errors_are_filtered_out() {
    let lines = logged_lines(|| {
        tracing::debug!("debug event");
        tracing::error!(target: "actix_http", "malformed request");
        tracing::info!("kept");
    });
    assert_eq!(lines, ["INFO kept"]);
}
