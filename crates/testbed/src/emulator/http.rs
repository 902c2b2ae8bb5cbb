//! The part of HTTP/1.1 that emulated clients, servers and discovery need, byte by byte, since they
//! also have to misbehave.
//!
//! Owns connections, messages and their bodies; `head` parses heads. What a message means is for
//! its sender and receiver to know.

mod head;

#[cfg(test)]
mod tests;

#[cfg(test)]
pub(super) use tests::parsed_response;

use std::io;

use bytes::{Buf as _, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use head::{parse_request_head, parse_response_head};

/// Bytes of a head or body beyond which reading fails: far more than any message of an emulation.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// A message, read to its last byte.
#[derive(Debug, Default)]
pub(super) struct Message {
    /// Target of a request.
    pub(super) target: String,
    /// Status of a response.
    pub(super) status: u16,
    headers: Vec<(String, String)>,
    pub(super) body: BytesMut,
}

impl Message {
    /// The value of a header field; names are compared without case.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The value of a parameter of the target's query.
    pub(super) fn query_parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Which messages a connection is read for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Request,
    Response,
}

/// A connection, with what was read of it and not yet used.
pub(super) struct HttpConnection {
    stream: TcpStream,
    buffer: BytesMut,
}

fn invalid(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

impl HttpConnection {
    pub(super) fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    pub(super) async fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Waits for the first byte of a next message; false at the end of the connection.
    pub(super) async fn has_next(&mut self) -> io::Result<bool> {
        Ok(!self.buffer.is_empty() || self.stream.read_buf(&mut self.buffer).await? > 0)
    }

    /// Waits until the peer closes, or sends what it should not.
    pub(super) async fn closed(&mut self) {
        let _ = self.stream.read_buf(&mut self.buffer).await;
    }

    /// Reads a request to its last byte.
    pub(super) async fn read_request(&mut self) -> io::Result<Message> {
        loop {
            if let Some((head_length, message)) = parse_request_head(&self.buffer)? {
                return self.read_body(head_length, message, Kind::Request).await;
            }
            self.read_more().await?;
        }
    }

    /// Reads a response to its last byte.
    pub(super) async fn read_response(&mut self) -> io::Result<Message> {
        loop {
            if let Some((head_length, message)) = parse_response_head(&self.buffer)? {
                return self.read_body(head_length, message, Kind::Response).await;
            }
            self.read_more().await?;
        }
    }

    async fn read_more(&mut self) -> io::Result<()> {
        if self.buffer.len() > MAX_MESSAGE_BYTES {
            return Err(invalid("too long"));
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
        kind: Kind,
    ) -> io::Result<Message> {
        self.buffer.advance(head_length);
        let chunked = message.header("transfer-encoding").is_some();
        let length = message
            .header("content-length")
            .map(|length| length.parse::<usize>().map_err(|_| invalid("length")));
        match (length.transpose()?, chunked) {
            (_, true) => self.read_chunks(&mut message.body).await?,
            (Some(length), false) if length <= MAX_MESSAGE_BYTES => {
                message.body = self.read_exactly(length).await?;
            }
            (Some(_), false) => return Err(invalid("too long")),
            (None, false) if kind == Kind::Response && message.status == 200 => {
                return Err(invalid("a response without a length"));
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

    async fn read_chunks(&mut self, body: &mut BytesMut) -> io::Result<()> {
        loop {
            let line = self.read_line().await?;
            let digits = std::str::from_utf8(&line).unwrap_or_default().trim();
            let length = usize::from_str_radix(digits, 16)
                .map_err(|_| invalid("a chunk without a length"))?;
            if body.len().saturating_add(length) > MAX_MESSAGE_BYTES {
                return Err(invalid("too long"));
            }
            let chunk = self.read_exactly(length + 2).await?;
            body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return Ok(());
            }
        }
    }

    async fn read_line(&mut self) -> io::Result<BytesMut> {
        loop {
            match self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                Some(end) => return Ok(self.buffer.split_to(end + 2)),
                None => self.read_more().await?,
            }
        }
    }
}

/// A complete response as text; each line of `headers` ends in CRLF.
pub(super) fn response(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}
