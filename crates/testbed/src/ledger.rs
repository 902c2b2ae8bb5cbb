//! The one record that both engines write and that auditor and tally read.

use std::io::{self, Write};

use serde::{Deserialize, Serialize};

use crate::scenario::Micros;

/// How a try or a whole ask ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// With a job server's answer to this very request.
    Served,
    /// With a short-on-capacity reply: trying again is harmless.
    Refused,
    /// Failed, with no promise about effects.
    Failed,
    /// With something that no job server made for it.
    Wrong,
    /// With nothing, until its terminal gave up.
    Unanswered,
    /// Its sidecar was killed, or closed on it.
    Cut,
    /// No sidecar took it.
    Unreached,
    /// Its terminal left first.
    Left,
    /// Not played: more was open than the scenario allows.
    ChokedOff,
}

/// How a job server stands in the list that a sidecar was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Listing {
    Ready,
    Draining,
    Gone,
}

/// What became of a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Life {
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
pub enum Fate {
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
pub enum Entry {
    /// A terminal wants something; `within` its shop's share.
    Asked {
        ask: u64,
        sidecar: u32,
        class: u16,
        shop: u16,
        within: bool,
        /// Absent in records of before it was noted.
        #[serde(default)]
        work: f64,
    },
    /// The sidecar has a transaction's last byte, and owes its answer by `due`.
    Taken {
        tx: u64,
        ask: u64,
        sidecar: u32,
        class: u16,
        due: Micros,
    },
    /// The first byte of a routed task is out to a job server.
    Began {
        tx: u64,
        sidecar: u32,
        server: u32,
        crossing: bool,
    },
    /// A job server has the last byte; `capacity` is the work it can do in a microsecond now.
    Arrived {
        tx: u64,
        server: u32,
        work: f64,
        capacity: f64,
        cold: bool,
    },
    /// It was turned away unseen.
    TurnedAway {
        tx: u64,
        server: u32,
    },
    /// Its work was done there.
    Ran {
        tx: u64,
        server: u32,
        work: f64,
    },
    /// The terminal has the final answer of a transaction.
    Answered {
        tx: u64,
        how: How,
    },
    /// The terminal left before that.
    Left {
        tx: u64,
    },
    /// The wish has come to its end.
    Closed {
        ask: u64,
        how: How,
        tries: u32,
    },
    /// A sidecar was told how a job server stands; `launched` is its last start, 0 for long ago.
    Listed {
        sidecar: u32,
        server: u32,
        listing: Listing,
        launched: Micros,
    },
    Sidecar {
        sidecar: u32,
        life: Life,
    },
    Server {
        server: u32,
        zone: u32,
        fate: Fate,
    },
    Probed {
        sidecar: u32,
        server: u32,
    },
    /// A new connection has cost a job server its handshake.
    Opened {
        server: u32,
    },
    /// A call at discovery.
    Called {
        sidecar: u32,
    },
    /// What a job server holds, once a second.
    Gauge {
        server: u32,
        held: u32,
        connections: u32,
    },
}

/// An entry and its time in microseconds since the day began.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub at: Micros,
    #[serde(flatten)]
    pub entry: Entry,
}

/// Takes entries in the order of their times.
pub trait Ledger {
    fn note(&mut self, line: &Line);
}

impl Ledger for Vec<Line> {
    fn note(&mut self, line: &Line) {
        self.push(*line);
    }
}

/// The two readers that every run has, and one more where it is asked for.
pub struct Readers<'a, 'b, A, B> {
    pub first: &'a mut A,
    pub second: &'a mut B,
    pub further: Option<&'b mut dyn Ledger>,
}

impl<A: Ledger, B: Ledger> Ledger for Readers<'_, '_, A, B> {
    fn note(&mut self, line: &Line) {
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

impl<W: Write> Ledger for Writer<W> {
    fn note(&mut self, line: &Line) {
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
pub fn read(text: &str) -> Result<Vec<Line>, String> {
    let line = |(i, line)| serde_json::from_str(line).map_err(|e| format!("line {}: {e}", i + 1));
    text.lines()
        .enumerate()
        .filter(|(_, l)| !l.trim().is_empty())
        .map(line)
        .collect()
}
