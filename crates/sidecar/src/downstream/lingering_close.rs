//! The one end of a client's connection, whatever the reason: all answers are with the machine and nothing more is taken;
//! the write side is shut, what still comes is thrown away until the client ends its side or a bound, then it closes.

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::limits::Limits;

/// Guards against a close over unread bytes: that is a reset, which takes the end of the last answer with it. `wanted`
/// ends it early, where its descriptor is needed for a new client.
pub async fn lingering_close(mut socket: TcpStream, limits: &Limits, wanted: &Notify) {
    if socket.shutdown().await.is_err() {
        return;
    }
    let read = async {
        let mut left = limits.client.max_lingering_bytes;
        let mut bytes = vec![0; 4096];
        while let Ok(read @ 1..) = socket.read(&mut bytes).await {
            // Guards against a flood that is read for nothing until the time is over.
            let Some(rest) = left.checked_sub(read) else {
                return;
            };
            left = rest;
        }
    };
    tokio::select! {
        () = read => {}
        () = tokio::time::sleep(limits.client.lingering_close_timeout) => {}
        () = wanted.notified() => {}
    }
}
