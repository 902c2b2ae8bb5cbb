//! Discovery: the list of servers, and watches on its changes.

use std::io::{self, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Reader;
use crate::record::Record;

#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: &'static str,
    pub model: &'static str,
    pub state: &'static str,
    pub boot_ms: u64,
    /// The version at which the entry last changed.
    pub rev: u64,
}

struct State {
    rev: u64,
    entries: Vec<Entry>,
}

/// How the whole list is written.
#[derive(Clone, Copy, PartialEq)]
pub enum Form {
    OneLine,
    Indented,
}

pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// How long a call waits for its turn.
    pub call_ms: AtomicU64,
    /// The first answer to a call is the whole list.
    whole_first: bool,
    form: Form,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(
        record: &Arc<Record>,
        entries: Vec<Entry>,
        whole_first: bool,
        form: Form,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 0, 1), 0))?;
        let discovery = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::new(State { rev: 1, entries }),
            changed: Condvar::new(),
            call_ms: AtomicU64::new(0),
            whole_first,
            form,
            record: Arc::clone(record),
        });
        let this = Arc::clone(&discovery);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = Arc::clone(&this);
                thread::spawn(move || {
                    let error = this.serve(stream).err();
                    this.record
                        .line(format!("discovery: call ended, {error:?}"));
                });
            }
        });
        Ok(discovery)
    }

    /// The list in discovery's form, as a sidecar's configuration holds it.
    pub fn known(&self) -> String {
        let state = self.state.lock().unwrap();
        list(state.rev, true, &state.entries, Form::OneLine)
    }

    /// Gives a server another state.
    pub fn set_state(&self, uid: &str, to: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        for entry in state.entries.iter_mut().filter(|entry| entry.uid == uid) {
            entry.state = to;
            entry.rev = rev;
        }
        self.record
            .line(format!("discovery: {uid} is {to}, rev {rev}"));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let Some(request) = Reader::default().read(&mut stream)? else {
            return Ok(());
        };
        self.record.line(format!("discovery: {}", request.start));
        thread::sleep(Duration::from_millis(self.call_ms.load(Ordering::SeqCst)));
        let index = request.target().split("index=").nth(1).unwrap_or("0");
        let mut told: u64 = index.parse().unwrap_or(0);
        let mut whole = self.whole_first || told == 0;
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut state = self.state.lock().unwrap();
        loop {
            let text = if whole {
                let listed: Vec<Entry> = state
                    .entries
                    .iter()
                    .filter(|entry| entry.state != "gone")
                    .cloned()
                    .collect();
                list(state.rev, true, &listed, self.form)
            } else {
                let changed: Vec<Entry> = state
                    .entries
                    .iter()
                    .filter(|entry| entry.rev > told)
                    .cloned()
                    .collect();
                list(state.rev, false, &changed, Form::OneLine)
            };
            let line = if state.rev > told || whole {
                text
            } else {
                String::new()
            };
            told = state.rev;
            whole = false;
            drop(state);
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            stream.write_all(chunk.as_bytes())?;
            if !line.is_empty() {
                self.record
                    .line(format!("discovery: told rev {told}, {} bytes", line.len()));
            }
            state = self.state.lock().unwrap();
            if state.rev == told {
                let heartbeat = Duration::from_secs(2);
                state = self.changed.wait_timeout(state, heartbeat).unwrap().0;
            }
        }
    }
}

fn list(rev: u64, all: bool, entries: &[Entry], form: Form) -> String {
    let (open, between, close) = match form {
        Form::OneLine => ("", "", ""),
        Form::Indented => ("\n  ", "\n      ", "\n    "),
    };
    let space = if form == Form::Indented { " " } else { "" };
    let targets: Vec<String> = entries
        .iter()
        .map(|entry| {
            let fields = [
                format!("\"uid\":{space}\"{}\"", entry.uid),
                format!("\"endpoint\":{space}\"{}\"", entry.endpoint),
                format!("\"az\":{space}\"{}\"", entry.zone),
                format!("\"model\":{space}\"{}\"", entry.model),
                format!("\"pod_group\":{space}0"),
                format!("\"state\":{space}\"{}\"", entry.state),
                format!("\"capacity_hint\":{space}1.0"),
                format!("\"boot_ms\":{space}{}", entry.boot_ms),
            ];
            format!(
                "{close}{{{between}{}{close}}}",
                fields.join(&format!(",{between}"))
            )
        })
        .collect();
    let end = if form == Form::Indented { "\n" } else { "" };
    format!(
        "{{{open}\"rev\":{space}{rev},{open}\"all\":{space}{all},{open}\"targets\":{space}[{}{open}]{end}}}",
        targets.join(",")
    )
}
