//! Responses to requests that never reached the handler, since they are incomplete.

use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use crate::limits::Limits;

/// Why a connection ends although its request is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The head is longer than any that is read.
    HeadTooLarge,
    /// There is no memory or no connection for the rest of the request.
    OverCapacity,
}

impl Refusal {
    /// The whole response, the last on its connection.
    fn response(self, retry_after: Duration) -> String {
        let status = match self {
            Self::HeadTooLarge => "431 Request Header Fields Too Large",
            Self::OverCapacity => "503 Service Unavailable",
        };
        let retry_after = match self {
            Self::HeadTooLarge => String::new(),
            Self::OverCapacity => format!("Retry-After: {:.3}\r\n", retry_after.as_secs_f64()),
        };
        format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n{retry_after}\r\n")
    }

    /// Writes the response. It fits into the socket's buffer, unless earlier responses fill that: a
    /// client that does not read for as long as the limit loses it.
    pub(super) async fn write_to(self, socket: &mut TcpStream, limits: &Limits) {
        let response = self.response(limits.default_retry_after);
        let written = socket.write_all(response.as_bytes());
        let _ = tokio::time::timeout(limits.client.min_lingering_time, written).await;
    }
}
