//! What of a connection's bytes is the answer to the request that is out on it.

use std::io;

use bytes::{Buf as _, BytesMut};
use tokio::io::ReadBuf;

use crate::limits::Limits;

/// Where the reading of an answer stands.
#[derive(Default)]
enum At {
    /// No request is out.
    #[default]
    Nothing,
    Head,
    /// So many bytes of the body are to come.
    Body(usize),
    /// The body ends by chunks, or with the connection; so many bytes are borne with.
    Open(usize),
}

/// Guards against job servers that send what cannot be read, heads without end, interim answers, bodies
/// longer than allowed, and bytes behind an answer: awc takes an interim answer for the final one, and
/// would use a connection again that has brought more than its answer.
#[derive(Default)]
pub struct ResponseFraming {
    at: At,
    interim: usize,
    held: BytesMut,
}

fn spoilt(why: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

impl ResponseFraming {
    pub fn awaited() -> Self {
        Self {
            at: At::Head,
            ..Self::default()
        }
    }

    pub fn in_head(&self) -> bool {
        matches!(self.at, At::Head)
    }

    /// True where the body's end is awc's to find.
    pub fn is_open(&self) -> bool {
        matches!(self.at, At::Open(_))
    }

    /// How many bytes more of the body may come; nothing where none is awaited.
    pub fn wanted(&self) -> Option<usize> {
        match self.at {
            At::Nothing | At::Head => None,
            At::Body(left) | At::Open(left) => Some(left),
        }
    }

    /// Gives out what is known to be of the final answer.
    pub fn hand_on(&mut self, buf: &mut ReadBuf<'_>) -> bool {
        if self.in_head() || self.held.is_empty() {
            return false;
        }
        let part = self.held.split_to(self.held.len().min(buf.remaining()));
        buf.put_slice(&part);
        true
    }

    /// Takes in bytes while the head is awaited; false if some of them belong to no answer.
    pub fn head(&mut self, bytes: &[u8], limits: &Limits) -> io::Result<bool> {
        self.held.extend_from_slice(bytes);
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let mut response = httparse::Response::new(&mut headers);
            let end = match response.parse(&self.held) {
                Ok(httparse::Status::Complete(end)) => end,
                Ok(httparse::Status::Partial)
                    if self.held.len() < limits.upstream.max_response_head_bytes =>
                {
                    return Ok(true);
                }
                _ => return Err(spoilt("the head of an answer cannot be read")),
            };
            let status = response.code.unwrap_or_default();
            if (100..200).contains(&status) {
                self.interim += 1;
                if status == 101 || self.interim > limits.upstream.max_interim_responses {
                    return Err(spoilt("too many interim answers"));
                }
                self.held.advance(end);
                continue;
            }
            let (at, framed) = body(&response, limits)?;
            self.at = at;
            if !framed {
                // Guards against an answer that ends with its connection: awc takes one that says neither length
                // nor chunks for one without a body, except in HTTP/1.0, where it reads to the end of file.
                let version = self
                    .held
                    .iter()
                    .position(|&b| b == b'/')
                    .unwrap_or_default();
                self.held[version..version + 4].copy_from_slice(b"/1.0");
            }
            if let At::Body(length) = self.at {
                let here = self.held.len() - end;
                let whole = here <= length;
                self.held.truncate(end + length);
                self.at = if here >= length {
                    At::Nothing
                } else {
                    At::Body(length - here)
                };
                return Ok(whole);
            }
            return Ok(true);
        }
    }

    /// Counts bytes of the body that went straight through.
    pub fn body(&mut self, read: usize) -> io::Result<()> {
        self.at = match self.at {
            At::Body(left) if left > read => At::Body(left - read),
            At::Open(left) if left > read => At::Open(left - read),
            At::Open(_) => return Err(spoilt("an answer does not end")),
            At::Nothing | At::Head | At::Body(_) => At::Nothing,
        };
        Ok(())
    }
}

/// How the body of a final answer ends, where its head leaves no doubt of it; false if with the connection.
fn body(response: &httparse::Response<'_, '_>, limits: &Limits) -> io::Result<(At, bool)> {
    let named = |name: &'static str| {
        response
            .headers
            .iter()
            .filter(move |h| h.name.eq_ignore_ascii_case(name))
    };
    let mut lengths = named("content-length");
    let mut codings = named("transfer-encoding");
    let (coding, further) = (codings.next(), codings.next());
    match (lengths.next(), lengths.next(), coding) {
        (Some(length), None, None) => {
            let digits = length.value.iter().all(u8::is_ascii_digit);
            let length = std::str::from_utf8(length.value).ok().filter(|_| digits);
            let length = length
                .and_then(|text| text.parse().ok())
                .filter(|&n: &usize| n <= limits.max_body_bytes);
            let length = length.ok_or_else(|| spoilt("an answer's length is none, or too long"))?;
            Ok((At::Body(length), true))
        }
        (None, None, None) if matches!(response.code, Some(204 | 304)) => Ok((At::Body(0), true)),
        (None, None, None) => Ok((At::Open(limits.upstream.max_unsized_response_bytes), false)),
        (None, None, Some(coding)) => {
            // Guards against an end that only one side sees: HTTP/1.0 knows no chunks, and nothing else is undone.
            let known = coding.value.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if !known || further.is_some() || response.version != Some(1) {
                return Err(spoilt("an answer's transfer coding is not chunked"));
            }
            Ok((At::Open(limits.upstream.max_unsized_response_bytes), true))
        }
        _ => Err(spoilt("an answer's length is given twice")),
    }
}
