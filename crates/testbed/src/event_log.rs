//! The one record that both engines write and that auditor and tally read.

use std::io::{self, Write};

use serde::{Deserialize, Serialize};

use crate::scenario::Micros;

/// How a try or a whole ask ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// With a job server's answer to this very request.
    Served,
    /// With a short-on-capacity reply: trying again is harmless.
    #[serde(alias = "refused")]
    Rejected,
    /// Failed, with no promise about effects.
    Failed,
    /// With something that no job server made for it.
    #[serde(alias = "wrong")]
    Mismatched,
    /// With nothing, until its terminal gave up.
    Unanswered,
    /// Its sidecar was killed, or closed on it.
    #[serde(alias = "cut")]
    ConnectionLost,
    /// No sidecar took it.
    #[serde(alias = "unreached")]
    Unreachable,
    /// Its terminal left first.
    #[serde(alias = "left")]
    Disconnected,
    /// Not played: more was open than the scenario allows.
    #[serde(alias = "choked_off")]
    NotPlayed,
}

/// How a job server stands in the list that a sidecar was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedStatus {
    Ready,
    Draining,
    Gone,
}

/// What became of a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessState {
    Up,
    /// Told to end: it still owes what it has taken.
    Ending,
    /// Ended by itself, after it was told to.
    Ended,
    Killed,
}

/// What became of a job server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    Up,
    Cold,
    Paused,
    Silent,
    Slow,
    Draining,
    Down,
    Fallen,
}

/// One entry. Numbers: `ask` is a terminal's wish, `tx` one try of it (a transaction), `server` and `sidecar`
/// count from 0; works are microseconds of a standard core.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum LogEvent {
    /// A terminal wants something; `within` its shop's share.
    #[serde(alias = "asked")]
    ArrivalStarted {
        #[serde(alias = "ask")]
        arrival: u64,
        sidecar: u32,
        class: u16,
        #[serde(alias = "shop")]
        tenant: u16,
        #[serde(alias = "within")]
        within_share: bool,
        /// Absent in records of before it was noted.
        #[serde(default)]
        work: f64,
    },
    /// The sidecar has a transaction's last byte, and owes its answer by `due`.
    #[serde(alias = "taken")]
    RequestAccepted {
        #[serde(alias = "tx")]
        request: u64,
        #[serde(alias = "ask")]
        arrival: u64,
        sidecar: u32,
        class: u16,
        due: Micros,
    },
    /// The first byte of a routed task is out to a job server.
    #[serde(alias = "began")]
    AttemptStarted {
        #[serde(alias = "tx")]
        request: u64,
        sidecar: u32,
        server: u32,
        #[serde(alias = "crossing")]
        cross_zone: bool,
    },
    /// A job server has the last byte; `capacity` is the work it can do in a microsecond now.
    #[serde(alias = "arrived")]
    AttemptReceived {
        #[serde(alias = "tx")]
        request: u64,
        server: u32,
        work: f64,
        capacity: f64,
        cold: bool,
    },
    /// It was turned away unseen.
    #[serde(alias = "turned_away")]
    AttemptRejected {
        #[serde(alias = "tx")]
        request: u64,
        server: u32,
    },
    /// Its work was done there.
    #[serde(alias = "ran")]
    WorkDone {
        #[serde(alias = "tx")]
        request: u64,
        server: u32,
        work: f64,
    },
    /// The terminal has the final answer of a transaction.
    #[serde(alias = "answered")]
    ResponseReceived {
        #[serde(alias = "tx")]
        request: u64,
        #[serde(alias = "how")]
        outcome: RequestOutcome,
    },
    /// The terminal left before that.
    #[serde(alias = "left")]
    ClientDisconnected {
        #[serde(alias = "tx")]
        request: u64,
    },
    /// The wish has come to its end.
    #[serde(alias = "closed")]
    ArrivalEnded {
        #[serde(alias = "ask")]
        arrival: u64,
        #[serde(alias = "how")]
        outcome: RequestOutcome,
        #[serde(alias = "tries")]
        requests: u32,
    },
    /// A sidecar was told how a job server stands; `launched` is its last start, 0 for long ago.
    #[serde(alias = "listed")]
    EndpointListed {
        sidecar: u32,
        server: u32,
        #[serde(alias = "listing")]
        status: ListedStatus,
        #[serde(alias = "launched")]
        incarnation: Micros,
    },
    #[serde(alias = "sidecar")]
    SidecarStateChanged {
        sidecar: u32,
        #[serde(alias = "life")]
        state: ProcessState,
    },
    #[serde(alias = "server")]
    ServerStateChanged {
        server: u32,
        zone: u32,
        #[serde(alias = "fate")]
        state: ServerState,
    },
    #[serde(alias = "probed")]
    HealthChecked { sidecar: u32, server: u32 },
    /// A new connection has cost a job server its handshake.
    #[serde(alias = "opened")]
    ConnectionOpened { server: u32 },
    /// A call at discovery.
    #[serde(alias = "called")]
    DiscoveryPolled { sidecar: u32 },
    /// What a job server holds, once a second.
    #[serde(alias = "gauge")]
    ServerGauge {
        server: u32,
        #[serde(alias = "held")]
        in_flight: u32,
        connections: u32,
    },
}

/// An entry and its time in microseconds since the day began.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    pub at: Micros,
    #[serde(flatten)]
    pub event: LogEvent,
}

/// Takes entries in the order of their times.
pub trait EventLog {
    fn note(&mut self, line: &LogRecord);
}

impl EventLog for Vec<LogRecord> {
    fn note(&mut self, line: &LogRecord) {
        self.push(*line);
    }
}

/// The two readers that every run has, and one more where it is asked for.
pub struct Tee<'a, 'b, A, B> {
    pub first: &'a mut A,
    pub second: &'a mut B,
    pub further: Option<&'b mut dyn EventLog>,
}

impl<A: EventLog, B: EventLog> EventLog for Tee<'_, '_, A, B> {
    fn note(&mut self, line: &LogRecord) {
        self.first.note(line);
        self.second.note(line);
        if let Some(further) = &mut self.further {
            further.note(line);
        }
    }
}

/// Writes one JSON object a line. The first failure to write is kept and told at the end.
pub struct Writer<W: Write> {
    out: W,
    fault: Option<io::Error>,
}

impl<W: Write> Writer<W> {
    pub fn new(out: W) -> Self {
        Self { out, fault: None }
    }

    /// # Errors
    /// The first failure to write.
    pub fn finish(mut self) -> io::Result<()> {
        match self.fault.take() {
            Some(fault) => Err(fault),
            None => self.out.flush(),
        }
    }
}

impl<W: Write> EventLog for Writer<W> {
    fn note(&mut self, line: &LogRecord) {
        if self.fault.is_none() {
            let written = serde_json::to_writer(&mut self.out, line).map_err(io::Error::from);
            self.fault = written.and_then(|()| self.out.write_all(b"\n")).err();
        }
    }
}

/// Reads a record that was written.
///
/// # Errors
/// Names the first line that cannot be read.
pub fn read(text: &str) -> Result<Vec<LogRecord>, String> {
    let line = |(i, line)| serde_json::from_str(line).map_err(|e| format!("line {}: {e}", i + 1));
    text.lines()
        .enumerate()
        .filter(|(_, l)| !l.trim().is_empty())
        .map(line)
        .collect()
}
