//! The steps of a recording, one verb each.

use std::fmt::Write as _;
use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use std::{fs, thread};

use super::message::read_message;
use super::servers::Slow;
use super::{Stage, address, span, until};

impl Stage {
    /// From now on each call at discovery is answered with 503.
    fn deny(&self) {
        self.denying.store(true, Ordering::Relaxed);
        let listener = self.discovery.try_clone().expect("a second handle");
        let denying = Arc::clone(&self.denying);
        thread::spawn(move || {
            while denying.load(Ordering::Relaxed) {
                let Ok((mut link, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = link.set_nonblocking(false);
                let _ = link.read(&mut [0; 1024]);
                let _ = link
                    .write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            }
        });
    }

    fn signal(&self, which: &str) {
        let kill = Command::new("kill")
            .args([which, &self.child.id().to_string()])
            .status();
        assert!(kill.expect("kill runs").success());
    }

    /// Carries out one step of the recording.
    pub fn step(&mut self, party: &str, verb: &str, text: &str) {
        match verb {
            "send" => {
                let text = &text.replace("{long}", &"x".repeat(9_000));
                let (head, body) = text.split_once("\n\n").unwrap_or((text, ""));
                let whole = format!("{}\r\n\r\n{body}", head.trim_end().replace('\n', "\r\n"));
                self.link(party).write_all(whole.as_bytes()).expect("sent");
            }
            "connect" => drop(self.link(party)),
            "part" => {
                let text = text.trim_end().replace("\\r", "\r").replace("\\n", "\n");
                self.link(party).write_all(text.as_bytes()).expect("sent");
            }
            "fill" => {
                let text = text.trim_end().replace("\\r", "\r").replace("\\n", "\n");
                let many = text.repeat(70_000 / text.len());
                // A terminal's link may be closed by now: that is the program's right.
                let _ = match party.starts_with('D') {
                    true => write!(self.link(party), "{:x}\r\n{many}\r\n", many.len()),
                    false => self.link(party).write_all(many.as_bytes()),
                };
            }
            "chunk" => {
                let server = self.servers.first().map(address).unwrap_or_default();
                let spare = self.servers.last().map(address).unwrap_or_default();
                let slow = self.slow.first().map(Slow::address).unwrap_or_default();
                let text = text
                    .replace("{S}", &server)
                    .replace("{spare}", &spare)
                    .replace("{slow}", &slow);
                let text = text.replace("\\n", "\n");
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                self.link(party).write_all(chunk.as_bytes()).expect("sent");
            }
            "read" => {
                let said = read_message(self.link(party));
                writeln!(self.transcript, "{party} got:\n{said}").expect("written");
            }
            "ready" => until("ready", || {
                let mut link = TcpStream::connect(&self.listen).expect("the program accepts");
                link.write_all(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")
                    .expect("sent");
                read_message(&mut link)
                    .starts_with("HTTP/1.1 200")
                    .then_some(())
            }),
            "close" => drop(self.links.remove(party)),
            "reset" => {
                let link = self.links.remove(party).expect("there");
                socket2::SockRef::from(&link)
                    .set_linger(Some(Duration::ZERO))
                    .expect("no lingering");
            }
            "closed" => {
                let rest = self.link(party).read(&mut [0; 64]);
                assert!(
                    matches!(rest, Ok(0)) || rest.is_err_and(|e| e.raw_os_error() == Some(104)),
                    "{party}"
                );
                writeln!(self.transcript, "{party} closed").expect("written");
            }
            "ended" => {
                // An end of file and nothing else: a reset would take what was not read yet with it.
                let rest = self
                    .link(party)
                    .read(&mut [0; 64])
                    .map_err(|e| e.to_string());
                writeln!(self.transcript, "{party} ended with {rest:?}").expect("written");
            }
            "nothing" => {
                let link = self.link(party);
                link.set_nonblocking(true).expect("not blocking");
                let more = link.peek(&mut [0]).ok();
                link.set_nonblocking(false).expect("blocking");
                writeln!(
                    self.transcript,
                    "{party} got nothing more: {}",
                    more.is_none_or(|n| n == 0)
                )
                .expect("written");
            }
            "within" => {
                // How soon the program connects, where that is the matter.
                let most = span(text);
                let start = Instant::now();
                self.link(party);
                writeln!(
                    self.transcript,
                    "{party} came within {most:?}: {}",
                    start.elapsed() <= most
                )
                .expect("written");
            }
            "dialled" => until("a dial", || {
                self.slow.iter().any(Slow::dialled).then_some(())
            }),
            "admit" => self.slow.iter_mut().for_each(Slow::admit),
            "refill" => self.slow.iter_mut().for_each(Slow::refill),
            "deny" => self.deny(),
            "unsent" => {
                // The connection comes up, and ends without a byte on it.
                let mut bytes = Vec::new();
                let end = self
                    .link(party)
                    .read_to_end(&mut bytes)
                    .map_err(|e| e.to_string());
                writeln!(self.transcript, "{party} ended with {end:?} bytes").expect("written");
            }
            "silent" => {
                let none = self.servers.iter().all(|l| l.accept().is_err());
                let none = none && self.slow.iter().all(|s| s.accept().is_none());
                writeln!(self.transcript, "{party} no further connection: {none}")
                    .expect("written");
            }
            "stop" => {
                self.signal("-TERM");
                self.stopped.get_or_insert_with(Instant::now);
            }
            "halt" => self.signal("-STOP"),
            "resume" => self.signal("-CONT"),
            "pause" => {
                thread::sleep(span(text));
            }
            "reload" => {
                let (path, old) = &self.config;
                // "refused": to where nobody listens. Other text is the file itself.
                let refused = text.trim() == "refused";
                let to = if refused {
                    self.refusing.1.clone()
                } else {
                    address(&self.moved)
                };
                let new = old.replace(
                    r#""discovery":"127.0.0.1:1""#,
                    &format!(r#""discovery":"{to}""#),
                );
                fs::write(
                    path,
                    if refused || text.trim().is_empty() {
                        &new
                    } else {
                        text
                    },
                )
                .expect("written");
                self.signal("-HUP");
            }
            "exit" => {
                let status = until("the exit", || self.child.try_wait().expect("a child"));
                write!(self.transcript, "exit code {:?}", status.code()).expect("written");
                if let Some(most) = Some(text.trim()).filter(|t| !t.is_empty()).map(span) {
                    let took = self.stopped.map(|at| at.elapsed());
                    let soon = took.is_some_and(|took| took <= most);
                    write!(self.transcript, ", within {most:?} of SIGTERM: {soon}")
                        .expect("written");
                }
                writeln!(self.transcript).expect("written");
            }
            other => panic!("unknown verb {other}"),
        }
    }
}
