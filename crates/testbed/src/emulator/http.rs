//! The little of HTTP/1.1 that stand-ins need, byte by byte, since they also have to misbehave.

use std::io;

use bytes::{Buf as _, BytesMut};
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;

/// Bytes of a head or body beyond which a stand-in gives up.
const MOST: usize = 256 * 1024;

/// A message, read whole.
#[derive(Debug, Default)]
pub struct Message {
    /// Target of a request.
    pub target: String,
    /// Status of an answer.
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: BytesMut,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    /// A field of the target's query.
    pub fn field(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }
}

/// A connection and what was read of it and not yet used.
pub struct Wire {
    pub stream: TcpStream,
    held: BytesMut,
}

fn bad(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            held: BytesMut::new(),
        }
    }

    /// Waits for a first byte of something new; false at the end of the connection.
    pub async fn heard(&mut self) -> io::Result<bool> {
        Ok(!self.held.is_empty() || self.stream.read_buf(&mut self.held).await? > 0)
    }

    async fn more(&mut self) -> io::Result<()> {
        if self.held.len() > MOST {
            return Err(bad("too long"));
        }
        match self.stream.read_buf(&mut self.held).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads a request to its last byte.
    pub async fn request(&mut self) -> io::Result<Message> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let mut request = httparse::Request::new(&mut headers);
            if let httparse::Status::Complete(end) =
                request.parse(&self.held).map_err(|_| bad("no request"))?
            {
                let target = request.path.unwrap_or_default().to_owned();
                let headers = owned(request.headers);
                return self
                    .rest(
                        end,
                        Message {
                            target,
                            headers,
                            ..Message::default()
                        },
                        false,
                    )
                    .await;
            }
            self.more().await?;
        }
    }

    /// Reads an answer to its last byte.
    pub async fn answer(&mut self) -> io::Result<Message> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let mut response = httparse::Response::new(&mut headers);
            if let httparse::Status::Complete(end) =
                response.parse(&self.held).map_err(|_| bad("no answer"))?
            {
                let status = response.code.unwrap_or_default();
                let headers = owned(response.headers);
                return self
                    .rest(
                        end,
                        Message {
                            status,
                            headers,
                            ..Message::default()
                        },
                        true,
                    )
                    .await;
            }
            self.more().await?;
        }
    }

    async fn rest(
        &mut self,
        end: usize,
        mut message: Message,
        answer: bool,
    ) -> io::Result<Message> {
        self.held.advance(end);
        let chunked = message.header("transfer-encoding").is_some();
        let length = message
            .header("content-length")
            .map(|l| l.parse::<usize>().map_err(|_| bad("length")));
        match (length.transpose()?, chunked) {
            (_, true) => self.chunks(&mut message.body).await?,
            (Some(length), false) if length <= MOST => {
                while self.held.len() < length {
                    self.more().await?;
                }
                message.body = self.held.split_to(length);
            }
            (Some(_), false) => return Err(bad("too long")),
            (None, false) if answer && message.status == 200 => {
                return Err(bad("an answer without a length"));
            }
            (None, false) => {}
        }
        Ok(message)
    }

    async fn chunks(&mut self, body: &mut BytesMut) -> io::Result<()> {
        loop {
            let line = loop {
                match self.held.windows(2).position(|w| w == b"\r\n") {
                    Some(at) => break self.held.split_to(at + 2),
                    None => self.more().await?,
                }
            };
            let digits = std::str::from_utf8(&line).unwrap_or_default().trim();
            let length =
                usize::from_str_radix(digits, 16).map_err(|_| bad("a chunk without a length"))?;
            if body.len() + length > MOST {
                return Err(bad("too long"));
            }
            while self.held.len() < length + 2 {
                self.more().await?;
            }
            body.extend_from_slice(&self.held.split_to(length));
            self.held.advance(2);
            if length == 0 {
                return Ok(());
            }
        }
    }

    /// Waits until the other side closes or sends what it should not.
    pub async fn gone(&mut self) {
        let _ = self.stream.read_buf(&mut self.held).await;
    }
}

fn owned(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    headers
        .iter()
        .map(|h| (h.name.to_owned(), text(h.value)))
        .collect()
}

/// A whole answer.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}
