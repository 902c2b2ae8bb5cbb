//! Discovery's list: its form, and the watch that turns it into list events.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use arrowstand_controls::freshness::Freshness;
use awc::error::{ConnectError, SendRequestError};
use bytes::BytesMut;
use futures_util::StreamExt as _;
use heronlock::{Condition, Event, ListKind};
use tinyjson::JsonValue;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::core::Core;
use crate::json::{self, Node};
use crate::limits::Limits;

/// One line of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    /// What kind of machine it is, as the platform calls it.
    pub model: String,
    pub condition: Condition,
    /// Unix time of the last start in milliseconds; 0 if long ago.
    pub boot_ms: f64,
}

/// The whole table or a change to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    pub rev: u64,
    pub all: bool,
    pub lines: Vec<Line>,
    /// Messages on lines that could not be read and were skipped.
    pub skipped: Vec<String>,
}

/// The last start time that is believed, in Unix milliseconds: the year 5138.
const BOOT_MOST: f64 = 1e14;

fn line(node: &Node) -> Result<Line, String> {
    let endpoint = node.at("endpoint");
    let text = endpoint.text()?;
    // Guards against a start time that overflows the module's clock once a span is added to it.
    let boot_ms = node.at("boot_ms").number_opt()?.unwrap_or(0.0);
    if boot_ms > BOOT_MOST {
        return node.at("boot_ms").fault("is no time");
    }
    Ok(Line {
        uid: node.at("uid").text()?,
        address: text.parse().or_else(|_| endpoint.fault("is not an address and port"))?,
        zone: node.at("az").text_opt()?.unwrap_or_default(),
        model: node.at("model").text_opt()?.unwrap_or_default(),
        cell: node.at("pod_group").number_opt()?.unwrap_or(0.0) as u32,
        condition: match node.at("state").text()?.as_str() {
            "ready" => Condition::Ready,
            "draining" => Condition::Draining,
            "gone" => Condition::Gone,
            other => return node.at("state").fault(&format!("unknown value {other:?}")),
        },
        boot_ms,
    })
}

impl Table {
    /// Reads a table. Guards against one bad line hiding the good ones: it alone is skipped.
    pub fn read(node: &Node) -> Result<Self, String> {
        let rev = node.at("rev").number()? as u64;
        let all = node.at("all").flag_opt()?.unwrap_or(false);
        let mut table = Self { rev, all, ..Self::default() };
        for item in node.at("targets").items()? {
            match line(&item) {
                Ok(line) => table.lines.push(line),
                Err(message) => table.skipped.push(message),
            }
        }
        Ok(table)
    }

    pub fn parse(text: &str, limits: &Limits) -> Result<Self, String> {
        let value: JsonValue = json::parse(text, limits.json_depth)?;
        Self::read(&Node::root(&value))
    }
}

/// Cuts a watch's bytes into lines, however they were split over chunks.
struct Lines {
    held: BytesMut,
    most: usize,
}

impl Lines {
    fn take(&mut self) -> Option<BytesMut> {
        let end = self.held.iter().position(|&b| b == b'\n')?;
        let mut line = self.held.split_to(end + 1);
        line.truncate(end);
        Some(line)
    }

    fn add(&mut self, chunk: &[u8]) -> Result<(), String> {
        if self.held.len() + chunk.len() > self.most {
            return Err(format!("a line is longer than {} bytes", self.most));
        }
        self.held.extend_from_slice(chunk);
        Ok(())
    }
}

/// Where this sidecar stands in discovery's numbering of its changes.
struct Position {
    rev: Cell<u64>,
    /// What the module is told is this much higher, so that its count only rises.
    raised: Cell<u64>,
    /// Nothing has come on this watch yet.
    first: Cell<bool>,
}

/// Why a watch ended.
struct Fault {
    text: String,
    end: End,
}

/// How a call or a watch ended, as far as it tells what the list may hide.
enum End {
    Broken,
    /// The call was given up.
    Unanswered,
    /// It was open and said nothing more.
    Silent {
        heard: Instant,
    },
    /// Nobody listens there.
    Refused,
}

impl From<String> for Fault {
    fn from(text: String) -> Self {
        Self { text, end: End::Broken }
    }
}

/// Follows discovery for as long as the program runs: one call for each time the module asks, and one at once where
/// discovery has moved. Where news count as told though none came, calls do not wait for the module.
pub async fn follow(
    core: Rc<Core>,
    mut discovery: watch::Receiver<SocketAddr>,
    rev: u64,
    limits: Rc<Limits>,
    seed: u64,
) {
    let client = awc::Client::builder()
        .connector(awc::Connector::new().timeout(limits.list_call).conn_lifetime(limits.patience))
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish();
    let at = Position { rev: Cell::new(rev), raised: Cell::new(0), first: Cell::new(true) };
    let mut chance = fastrand::Rng::with_seed(seed);
    core.asked().await;
    // A call that the module has not asked for yet is on.
    let mut ahead = false;
    loop {
        let address = *discovery.borrow_and_update();
        let call = watch(&core, &client, address, &at, &limits);
        tokio::pin!(call);
        let again = loop {
            tokio::select! {
            fault = &mut call => {
                tracing::warn!("discovery: {}", fault.text);
                core.watched(|list, now| match fault.end {
                    End::Silent { heard } => list.fell_silent(core.at(heard), now),
                    End::Refused => list.refused(now),
                    End::Broken => list.lost(now),
                    End::Unanswered => list.unanswered(),
                });
                core.tell(Event::Members { kind: ListKind::Lost, version: 0, entries: Vec::new() });
                break false;
            }
            // Guards against a call that loses its turn at a crowded discovery: the one that is on is the one asked for.
            () = core.asked(), if ahead => ahead = false,
            // The module asks anew while a call or a watch is on: that one is ended.
            () = core.asked(), if !ahead => { core.watched(|list, _| list.unanswered()); break true }
            // Guards against changes missed while the old address goes on or fails: the watch moves at once.
            () = relocated(&mut discovery) => { moved(&core); break true }
            }
        };
        ahead = false;
        if !again {
            // Guards against a pause of the module's that outlasts the grace of what counts as told meanwhile; drawn, so
            // that many sidecars do not call in step.
            let hurry = core.freshness().urgent();
            let pause = limits.list_retry.mul_f64(0.25 + 0.75 * chance.f64());
            tokio::select! {
                () = core.asked() => {}
                () = relocated(&mut discovery) => { moved(&core); ahead = true }
                () = sleep(pause), if hurry => ahead = true,
            }
        }
    }
}

/// What a new discovery has counts as told after a time, whether or not a call got through by then.
fn moved(core: &Core) {
    core.watched(|list, now| list.moved(now));
}

/// Waits until discovery is somewhere else.
async fn relocated(discovery: &mut watch::Receiver<SocketAddr>) {
    if discovery.changed().await.is_err() {
        std::future::pending().await
    }
}

/// True where the address refused the call.
fn refused(e: &SendRequestError) -> bool {
    matches!(e, SendRequestError::Connect(ConnectError::Io(e)) if e.kind() == io::ErrorKind::ConnectionRefused)
}

/// One watch, from the call to its end; tells why it ended.
async fn watch(
    core: &Rc<Core>,
    client: &awc::Client,
    discovery: SocketAddr,
    at: &Position,
    limits: &Limits,
) -> Fault {
    let uri = format!("http://{discovery}/v1/endpoints?stream=1&index={}", at.rev.get());
    core.watched(Freshness::calling);
    at.first.set(true);
    let call = client.get(uri).force_close().no_decompress().send();
    let mut answer = match timeout(limits.list_call, call).await {
        Ok(Ok(answer)) if answer.status().is_success() => answer,
        Ok(Ok(answer)) => return format!("the call ended with {}", answer.status()).into(),
        Ok(Err(e)) => {
            let end = if refused(&e) { End::Refused } else { End::Broken };
            return Fault { text: format!("the call failed: {e}"), end };
        }
        Err(_) => return Fault { text: "the call was not answered".to_owned(), end: End::Unanswered },
    };
    let mut heard = Instant::now();
    let mut lines = Lines { held: BytesMut::new(), most: limits.list_line };
    loop {
        // Guards against a watch whose other end has vanished: it says nothing, not even the heartbeat.
        let chunk = match timeout(limits.list_silence, answer.next()).await {
            Ok(Some(Ok(chunk))) => chunk,
            Ok(Some(Err(e))) => return format!("the watch broke: {e}").into(),
            Ok(None) => return "the watch ended".to_owned().into(),
            Err(_) => return Fault { text: "the watch fell silent".to_owned(), end: End::Silent { heard } },
        };
        heard = Instant::now();
        if let Err(fault) = lines.add(&chunk) {
            return fault.into();
        }
        while let Some(line) = lines.take() {
            let text = String::from_utf8_lossy(&line);
            if text.trim().is_empty() {
                core.watched(|list, _| list.heard());
                continue;
            }
            match Table::parse(&text, limits) {
                Ok(table) => take(core, at, &table),
                Err(fault) => {
                    core.counters.table_lines_skipped.add();
                    // Guards against changes lost with a line: the next one would move the position past them.
                    at.rev.set(0);
                    return format!("a line cannot be read, the whole list is asked for: {fault}").into();
                }
            }
        }
    }
}

fn take(core: &Core, at: &Position, table: &Table) {
    // Guards against a discovery that counts from lower down, a new one or one that has started anew: it was asked for
    // what came after the position and gave the whole list instead, so that list is no old one.
    if at.first.replace(false) && table.all && table.rev < at.rev.get() {
        at.raised.set(at.raised.get() + at.rev.get());
    }
    at.rev.set(table.rev);
    let kind = if table.all { ListKind::Full } else { ListKind::Changes };
    core.watched(|list, _| list.heard());
    core.list(kind, at.raised.get() + table.rev, table);
}
