//! A client: one request at a time on a connection that it keeps.

use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{Message, Reader};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A request of the client's.
pub struct Request<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub timeout: Duration,
    pub key: Option<&'a str>,
    /// A body makes it a POST.
    pub body: Option<&'a [u8]>,
}

impl Request<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.body.is_some() { "POST" } else { "GET" };
        let mut head = format!(
            "{method} /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {}\r\nX-Priority-Class: {}\r\nX-Tenant-Id: tenjin-nishi\r\nX-Timeout: {}m\r\n",
            self.id,
            self.class,
            self.timeout.as_millis(),
        );
        if let Some(key) = self.key {
            head += &format!("Idempotency-Key: {key}\r\n");
        }
        if let Some(body) = self.body {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(self.body.unwrap_or_default());
        bytes
    }
}

/// How a request ended for its client.
pub enum End {
    Answer {
        status: u16,
        body: String,
    },
    /// The connection did not come up, or ended without a whole answer.
    Closed,
    /// The client gave up.
    NoAnswer,
}

impl End {
    pub fn name(&self) -> String {
        match self {
            Self::Answer { status, .. } => status.to_string(),
            Self::Closed => "closed without an answer".to_owned(),
            Self::NoAnswer => "no answer".to_owned(),
        }
    }
}

pub struct Client {
    address: SocketAddr,
    connection: Option<(TcpStream, Reader)>,
    unanswered: Option<(TcpStream, Reader)>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
            unanswered: None,
        }
    }

    /// The connection of the last request if that got no answer; it is still open.
    pub fn take_unanswered(&mut self) -> Option<(TcpStream, Reader)> {
        self.unanswered.take()
    }

    /// Sends a request and waits for its answer up to `wait`. What crosses the close of a kept
    /// connection is sent once more on a new one.
    pub fn send(&mut self, request: &Request<'_>, wait: Duration) -> End {
        let is_kept = self.connection.is_some();
        match self.exchange(&request.bytes(), wait) {
            Ok(Some(message)) => End::Answer {
                status: message.status(),
                body: String::from_utf8_lossy(&message.body).into_owned(),
            },
            Err(error) if is_timeout(&error) => {
                self.unanswered = self.connection.take();
                End::NoAnswer
            }
            _ => {
                self.connection = None;
                if is_kept {
                    return self.send(request, wait);
                }
                End::Closed
            }
        }
    }

    fn exchange(&mut self, bytes: &[u8], wait: Duration) -> io::Result<Option<Message>> {
        if self.connection.is_none() {
            // What is sent on no connection is not taken.
            let Ok(stream) = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT) else {
                return Ok(None);
            };
            stream.set_nodelay(true)?;
            self.connection = Some((stream, Reader::default()));
        }
        let Some((stream, reader)) = &mut self.connection else {
            return Ok(None);
        };
        stream.write_all(bytes)?;
        let until = Instant::now() + wait;
        stream.set_read_timeout(Some(until.saturating_duration_since(Instant::now())))?;
        let message = reader.read(stream)?;
        let is_last = message.as_ref().is_some_and(|message| {
            message
                .header("connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"))
        });
        if is_last {
            self.connection = None;
        }
        Ok(message)
    }
}

pub fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
