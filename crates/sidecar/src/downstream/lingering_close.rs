//! The one end of a client's connection, whatever the reason.
//!
//! All responses are with the operating system and no request is read any more: the write side is
//! shut, and what still comes is thrown away until the client ends its side or a bound is reached;
//! then the socket closes.

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::limits::Limits;

/// Bytes that are thrown away by one read.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// Closes a socket once there is nothing left to read. A close over unread bytes is a reset, and
/// that takes the end of the last response with it. `descriptor_wanted` ends the wait early, where
/// a new client needs the descriptor.
pub(super) async fn lingering_close(
    mut socket: TcpStream,
    limits: &Limits,
    descriptor_wanted: &Notify,
) {
    if socket.shutdown().await.is_err() {
        return;
    }
    tokio::select! {
        () = discard_input(&mut socket, limits.client.max_lingering_bytes) => {}
        () = tokio::time::sleep(limits.client.lingering_close_timeout) => {}
        () = descriptor_wanted.notified() => {}
    }
}

/// Reads up to the end of file, or to more than so many bytes: a client that floods the connection
/// is not worth reading until the time is over.
async fn discard_input(socket: &mut TcpStream, max_bytes: usize) {
    let mut remaining_bytes = max_bytes;
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    while let Ok(bytes @ 1..) = socket.read(&mut buffer).await {
        let Some(remaining) = remaining_bytes.checked_sub(bytes) else {
            return;
        };
        remaining_bytes = remaining;
    }
}
