//! A sidecar starts in the largest fleet, and discovery sends its list indented. It has to be ready
//! within 30 s.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use crate::discovery::{Discovery, Entry, Form};
use crate::sidecar::{Settings, Sidecar, get};
use crate::{Setting, Verdict};

/// Job servers of the list. The case sends them nothing.
const FLEET: usize = 3_200;
/// How long a sidecar may take to be ready.
const READY_WITHIN: Duration = Duration::from_secs(30);

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let entry = |n: usize| Entry {
        uid: format!("s-{n:08x}"),
        endpoint: SocketAddr::from((
            Ipv4Addr::new(127, 5, 1 + (n / 200) as u8, 1 + (n % 200) as u8),
            9,
        )),
        zone: ["fukuoka", "kumamoto", "kagoshima"][n % 3],
        model: "std-3",
        state: "ready",
        boot_ms: 0,
        rev: 1,
    };
    let form = if setting.trouble {
        Form::Indented
    } else {
        Form::OneLine
    };
    let entries = (0..FLEET).map(entry).collect();
    let discovery = Discovery::start(record, entries, true, form)?;
    let settings = Settings {
        sidecars: 4,
        membership: "on_request",
        drain_grace_ms: 2_000,
    };
    let known = r#"{"rev":0,"all":true,"targets":[]}"#;
    let mut sidecar = Sidecar::spawn(&setting.directory, 0, &settings, discovery.address, known)?;
    let started = Instant::now();
    let mut ready = None;
    while ready.is_none() && started.elapsed() < READY_WITHIN {
        let answer = get(sidecar.listen, "/ready");
        record.line(format!("GET /ready: {answer:?}"));
        if answer.is_some_and(|(status, _)| status == 200) {
            ready = Some(started.elapsed());
        }
        thread::sleep(Duration::from_millis(250));
    }
    if !sidecar.is_running() {
        return Err(io::Error::other("the sidecar ended"));
    }
    record.line(format!("log of the sidecar:\n{}", sidecar.log()));
    record.say(format!("ready after {ready:?}"));
    Ok(if ready.is_none() {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
