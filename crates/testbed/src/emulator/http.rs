//! A minimal HTTP/1.1 implementation for the emulated clients, servers and discovery service.
//!
//! It writes raw text, since emulated peers also have to send malformed messages and to leave
//! requests unanswered. This file reads messages from connections; `head` parses their heads.

mod head;

#[cfg(test)]
mod tests;

#[cfg(test)]
pub(super) use tests::parse_response;

use std::io;

use bytes::{Buf as _, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use head::{parse_request_head, parse_response_head};

/// Largest head or body, in bytes: far more than any message of an emulation has.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// A complete request or response.
#[derive(Debug, Default)]
pub(crate) struct Message {
    /// Target of a request; empty for a response.
    pub(crate) target: String,
    /// Status of a response; 0 for a request.
    pub(crate) status: u16,
    headers: Vec<(String, String)>,
    pub(crate) body: BytesMut,
}

impl Message {
    /// The value of the first header field of this name, which is case-insensitive.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The value of a parameter in the query of the target.
    pub(crate) fn query_parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageKind {
    Request,
    Response,
}

/// A connection, on which requests or responses are read one after the other.
pub(crate) struct HttpConnection {
    stream: TcpStream,
    /// Bytes that were read and do not belong to a message read so far.
    buffer: BytesMut,
}

fn invalid_data(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

impl HttpConnection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Makes the close of the connection a reset, so that neither side keeps it for a minute after.
    /// Tens of thousands of such remains slow down everything on the machine that lists sockets.
    pub(crate) fn reset_on_close(&self) {
        let _ = self.stream.set_zero_linger();
    }

    pub(crate) async fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Waits for the first byte of the next message; false if the peer has closed the connection.
    pub(crate) async fn has_next_message(&mut self) -> io::Result<bool> {
        Ok(!self.buffer.is_empty() || self.stream.read_buf(&mut self.buffer).await? > 0)
    }

    /// Waits until the peer closes the connection or sends data that is not expected yet.
    pub(crate) async fn closed(&mut self) {
        let _ = self.stream.read_buf(&mut self.buffer).await;
    }

    /// Reads a request with its body.
    pub(crate) async fn read_request(&mut self) -> io::Result<Message> {
        loop {
            if let Some((head_length, message)) = parse_request_head(&self.buffer)? {
                return self
                    .read_body(head_length, message, MessageKind::Request)
                    .await;
            }
            self.read_more().await?;
        }
    }

    /// Reads a response with its body.
    pub(crate) async fn read_response(&mut self) -> io::Result<Message> {
        loop {
            if let Some((head_length, message)) = parse_response_head(&self.buffer)? {
                return self
                    .read_body(head_length, message, MessageKind::Response)
                    .await;
            }
            self.read_more().await?;
        }
    }

    async fn read_more(&mut self) -> io::Result<()> {
        if self.buffer.len() > MAX_MESSAGE_BYTES {
            return Err(invalid_data("message exceeds the size limit"));
        }
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    async fn read_body(
        &mut self,
        head_length: usize,
        mut message: Message,
        kind: MessageKind,
    ) -> io::Result<Message> {
        self.buffer.advance(head_length);
        let chunked = message.header("transfer-encoding").is_some();
        let length = message.header("content-length").map(|length| {
            length
                .parse::<usize>()
                .map_err(|_| invalid_data("invalid Content-Length"))
        });
        match (length.transpose()?, chunked) {
            (_, true) => self.read_chunked_body(&mut message.body).await?,
            (Some(length), false) if length <= MAX_MESSAGE_BYTES => {
                message.body = self.read_exactly(length).await?;
            }
            (Some(_), false) => return Err(invalid_data("message exceeds the size limit")),
            (None, false) if kind == MessageKind::Response && message.status == 200 => {
                return Err(invalid_data("response without Content-Length"));
            }
            (None, false) => {}
        }
        Ok(message)
    }

    async fn read_exactly(&mut self, length: usize) -> io::Result<BytesMut> {
        while self.buffer.len() < length {
            self.read_more().await?;
        }
        Ok(self.buffer.split_to(length))
    }

    async fn read_chunked_body(&mut self, body: &mut BytesMut) -> io::Result<()> {
        loop {
            let line = self.read_line().await?;
            let digits = std::str::from_utf8(&line).unwrap_or_default().trim();
            let length = usize::from_str_radix(digits, 16)
                .map_err(|_| invalid_data("invalid chunk size"))?;
            if body.len().saturating_add(length) > MAX_MESSAGE_BYTES {
                return Err(invalid_data("message exceeds the size limit"));
            }
            let chunk = self.read_exactly(length + 2).await?;
            body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return Ok(());
            }
        }
    }

    /// Reads a line with its CRLF.
    async fn read_line(&mut self) -> io::Result<BytesMut> {
        loop {
            match self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                Some(end) => return Ok(self.buffer.split_to(end + 2)),
                None => self.read_more().await?,
            }
        }
    }
}

/// Formats a response with a `Content-Length`; each line of `headers` ends in CRLF.
pub(crate) fn format_response(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}
