//! HTTP/1.1 messages as the stand-ins read and write them.

use std::io::{self, Read};

/// A message that was read: its start line, its headers and its body.
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1).unwrap_or("");
        status.parse().unwrap_or(0)
    }
}

/// Reads messages from a connection, and keeps what follows the current one.
#[derive(Default)]
pub struct Reader {
    pending: Vec<u8>,
}

impl Reader {
    /// Reads the next message; `None` at the end of the stream before its first byte.
    pub fn read(&mut self, stream: &mut impl Read) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(end) = find(&self.pending, b"\r\n\r\n") {
                break end;
            }
            if !self.fill(stream)? {
                if self.pending.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.pending[..head_end]).into_owned();
        self.pending.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
        };
        message.body = self.read_body(&message, stream)?;
        Ok(Some(message))
    }

    fn read_body(&mut self, head: &Message, stream: &mut impl Read) -> io::Result<Vec<u8>> {
        let is_chunked = head
            .header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            let mut body = Vec::new();
            loop {
                let line = self.read_line(stream)?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.read_line(stream)?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.read_exactly(size, stream)?);
                self.read_exactly(2, stream)?;
            }
        }
        let length = head.header("content-length").unwrap_or("0");
        let length = length
            .parse()
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        self.read_exactly(length, stream)
    }

    fn read_line(&mut self, stream: &mut impl Read) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.pending, b"\r\n") {
                let line = String::from_utf8_lossy(&self.pending[..end]).into_owned();
                self.pending.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill(stream)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exactly(&mut self, length: usize, stream: &mut impl Read) -> io::Result<Vec<u8>> {
        while self.pending.len() < length {
            if !self.fill(stream)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.pending.drain(..length).collect())
    }

    fn fill(&mut self, stream: &mut impl Read) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = stream.read(&mut bytes)?;
        self.pending.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}
