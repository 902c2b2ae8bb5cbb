//! The misbehaving clients and servers of the flood.

use std::io::{Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::support::Harness;

const VALID_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
const ENDLESS_RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n";
const ENDLESS_RESPONSE_PART_BYTES: usize = 16 * 1024;

/// The head of a valid request.
pub(crate) fn request_head(id: &str, timeout_ms: u32, body_bytes: usize) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: n\r\nX-Request-ID: {id}\r\nX-Priority-Class: book\r\n\
         X-Timeout: {timeout_ms}m\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
}

/// Connects a client that holds its connection: depending on `number` it sends a head or a body
/// that does not end, pipelines many requests behind one, or sends nothing.
pub(crate) fn connect_misbehaving_client(sidecar: &str, number: usize) -> Option<TcpStream> {
    let mut connection = TcpStream::connect(sidecar).ok()?;
    connection.set_nonblocking(true).ok()?;
    let input = match number % 4 {
        0 => format!("GET /api HTTP/1.1\r\nX-Long: {}", "a".repeat(100_000)),
        1 => request_head(&format!("b{number}"), 9_000, 60_000) + &"b".repeat(59_999),
        2 => {
            request_head(&format!("f{number}"), 9_000, 0)
                + &"GET / HTTP/1.1\r\nHost: x\r\n\r\n".repeat(30_000)
        }
        _ => String::new(),
    };
    // Input that does not fit into the socket buffers is not sent: the sidecar reads no more of it.
    let _ = connection.write(input.as_bytes());
    Some(connection)
}

struct ServerConnection {
    stream: TcpStream,
    /// The response on this connection does not end.
    is_endless: bool,
}

impl ServerConnection {
    /// Reads the available input and responds; returns false once the connection has ended.
    fn respond(&mut self, request_count: &mut usize, endless_part: &[u8]) -> bool {
        match self.stream.read(&mut [0; 4096]) {
            Ok(0) => return false,
            Ok(_) if !self.is_endless => {
                *request_count += 1;
                self.is_endless = *request_count % 2 == 0;
                let response = if self.is_endless {
                    ENDLESS_RESPONSE_HEAD
                } else {
                    VALID_RESPONSE
                };
                let _ = self.stream.write(response.as_bytes());
            }
            _ => {}
        }
        if self.is_endless {
            let _ = self.stream.write(endless_part);
        }
        true
    }
}

/// Serves every other request with a valid response and the others with one that does not end.
fn serve(listener: &TcpListener, is_over: &AtomicBool) {
    let mut connections: Vec<ServerConnection> = Vec::new();
    let mut request_count = 0;
    let endless_part = vec![b'z'; ENDLESS_RESPONSE_PART_BYTES];
    while !is_over.load(Ordering::Relaxed) {
        while let Ok((stream, _)) = listener.accept() {
            stream
                .set_nonblocking(true)
                .expect("stream is non-blocking");
            connections.push(ServerConnection {
                stream,
                is_endless: false,
            });
        }
        connections.retain_mut(|connection| connection.respond(&mut request_count, &endless_part));
        thread::sleep(Duration::from_millis(1));
    }
}

/// Starts a thread for each server; they run until `is_over` is set.
pub(crate) fn spawn_servers(harness: &Harness, is_over: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    harness
        .servers()
        .into_iter()
        .map(|listener| {
            let is_over = Arc::clone(is_over);
            thread::spawn(move || serve(&listener, &is_over))
        })
        .collect()
}
