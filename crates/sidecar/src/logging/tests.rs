use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use super::*;

/// Keeps what is written.
#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Write for Written {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// What is printed of the events that `log` creates, each line without its time.
fn printed(log: impl FnOnce()) -> Vec<String> {
    let written = Written::default();
    let writer = written.clone();
    let logger = subscriber(move || writer.clone());
    tracing::subscriber::with_default(logger, log);
    let bytes = written.0.lock().expect("not poisoned").clone();
    let text = String::from_utf8(bytes).expect("text");
    let without_time = |line: &str| line.split_once("Z ").expect("a time").1.trim().to_owned();
    text.lines().map(without_time).collect()
}

#[test]
fn a_line_is_its_level_and_message_followed_by_the_fields() {
    let error = io::Error::other("no luck");
    let lines = printed(|| tracing::warn!(server = 7, %error, "something failed"));
    assert_eq!(lines, ["WARN something failed server=7 error=no luck"]);
}

#[test]
fn neither_details_nor_the_protocols_own_errors_are_written() {
    let lines = printed(|| {
        tracing::debug!("a detail");
        tracing::error!(target: "actix_http", "a client broke the protocol");
        tracing::info!("kept");
    });
    assert_eq!(lines, ["INFO kept"]);
}
