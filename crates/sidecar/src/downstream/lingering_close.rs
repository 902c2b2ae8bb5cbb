//! Closes client connections, whatever the reason for the close.
//!
//! All responses have been passed to the operating system and no further request is read. The write
//! side is shut down, and further input is discarded until the client shuts down its side or a
//! limit is reached; then the socket closes.

use std::rc::Rc;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::descriptor_reclaim::DescriptorReclaim;
use crate::limits::Limits;

/// Maximum number of bytes discarded by one read.
const DISCARD_BUFFER_BYTES: usize = 2048;

/// Closes a socket once there is nothing left to read. Closing a socket with unread bytes sends a
/// reset, by which the client may lose the end of the last response. The wait ends early if a new
/// client needs the file descriptor, once the client has had time to read that response.
pub(super) async fn lingering_close(
    mut socket: TcpStream,
    limits: &Limits,
    reclaim: &Rc<DescriptorReclaim>,
) {
    if socket.shutdown().await.is_err() {
        return;
    }
    let descriptor = reclaim.add(Instant::now() + limits.client.min_lingering_time);
    // Reads first, so that input that has arrived is not left unread once the time has passed.
    tokio::select! {
        biased;
        () = discard_input(&mut socket, limits.client.max_lingering_bytes) => {}
        () = tokio::time::sleep(limits.client.lingering_close_timeout) => {}
        () = descriptor.wait_for_reclaim() => {}
    }
}

/// Reads until the end of file, or until more than `max_bytes` were read. Without this limit, the
/// input of a client that floods the connection would be read for the whole timeout.
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

#[cfg(test)]
mod tests;
