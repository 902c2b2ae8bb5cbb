//! The whole list of the largest fleet, indented. It names what drains; nothing new may go there
//! later than the grace after it was written.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Request};
use crate::discovery::{Discovery, Entry, Form};
use crate::server::Server;
use crate::sidecar::{Settings, Sidecar, get};
use crate::{Setting, Verdict};

/// Entries of the list; the job servers of the small deployment in `TROUBLE=0`.
const LARGEST: usize = 3_200;
const SMALL: usize = 12;
const DRAINING: usize = 8;
const GRACE: Duration = Duration::from_secs(2);
const SLACK: Duration = Duration::from_millis(50);

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let _ = (LARGEST, SMALL, DRAINING, GRACE, SLACK, Arc::clone(record));
    let _ = Server::start;
    let _ = (Discovery::start, Form::Indented, Ordering::SeqCst, get);
    let _: Option<(Settings, Sidecar, Entry, Client, Request<'_>, SocketAddr, Ipv4Addr, Instant)> = None;
    thread::sleep(Duration::ZERO);
    Err(io::Error::other("to do"))
}
