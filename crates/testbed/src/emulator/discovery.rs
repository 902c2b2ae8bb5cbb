//! The stand-in discovery: a list that is told late, calls handled in turn, and a watch on changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::emulated_server::EmulatedServer;
use super::http::{Wire, answer};
use super::{EmulatorError, Shared, free_address, lock};
use crate::event_log::{ListedStatus, LogEvent};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Micros, from_ms};

/// An empty line comes this often while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// How it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    Down,
    Silent,
}

#[derive(Clone, Copy)]
struct LogRecord {
    at: usize,
    listing: ListedStatus,
    launched: Micros,
    version: u64,
}

struct Book {
    version: u64,
    lines: BTreeMap<u32, LogRecord>,
    busy_until: Micros,
    chance: RandomStream,
}

/// The service; each sidecar has an address of its own at it.
pub struct Discovery {
    shared: Arc<Shared>,
    stand_ins: Vec<Arc<EmulatedServer>>,
    pub addresses: Vec<SocketAddr>,
    book: Mutex<Book>,
    version: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
}

impl Discovery {
    pub async fn start(
        shared: &Arc<Shared>,
        stand_ins: &[Arc<EmulatedServer>],
    ) -> Result<Arc<Self>, EmulatorError> {
        let launched = |at: usize| stand_ins[at].launched();
        let line = |at| LogRecord {
            at,
            listing: ListedStatus::Ready,
            launched: launched(at),
            version: 1,
        };
        let lines = (0..stand_ins.len())
            .map(|at| (at as u32, line(at)))
            .collect();
        let chance = RandomStream::new(shared.day.seed, StreamId::Discovery, 0);
        let mut this = Self {
            shared: Arc::clone(shared),
            stand_ins: stand_ins.to_vec(),
            addresses: Vec::new(),
            book: Mutex::new(Book {
                version: 1,
                lines,
                busy_until: 0,
                chance,
            }),
            version: watch::channel(1).0,
            mode: watch::channel(Mode::Up).0,
        };
        let mut listeners = Vec::new();
        for _ in 0..shared.day.sidecars.count {
            let address = free_address()?;
            let listener = TcpListener::bind(address)
                .await
                .map_err(|source| EmulatorError::Listen { address, source })?;
            listeners.push(listener);
            this.addresses.push(address);
        }
        let this = Arc::new(this);
        for (sidecar, listener) in listeners.into_iter().enumerate() {
            let this = Arc::clone(&this);
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(Arc::clone(&this).serve(stream, sidecar as u32));
                }
            });
        }
        Ok(this)
    }

    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Puts news into the list, unless what they tell is older than what is there by now.
    pub fn set(&self, server: u32, at: usize, listing: ListedStatus, launched: Micros) {
        let mut book = lock(&self.book);
        if book
            .lines
            .get(&server)
            .is_some_and(|line| line.launched > launched)
        {
            return;
        }
        book.version += 1;
        let version = book.version;
        book.lines.insert(
            server,
            LogRecord {
                at,
                listing,
                launched,
                version,
            },
        );
        self.version.send_replace(version);
    }

    /// The list as a sidecar of that number has it.
    pub fn whole(&self, sidecar: u32) -> (Value, Vec<(u32, ListedStatus, Micros)>) {
        self.table(sidecar, None)
    }

    fn table(&self, sidecar: u32, since: Option<u64>) -> (Value, Vec<(u32, ListedStatus, Micros)>) {
        let book = lock(&self.book);
        let wanted = |line: &LogRecord| match since {
            Some(version) => line.version > version,
            None => line.listing != ListedStatus::Gone,
        };
        let there = book.lines.iter().filter(|(_, line)| wanted(line));
        let (mut targets, mut told) = (Vec::new(), Vec::new());
        for (&server, line) in there {
            let Some(stand_in) = self.stand_ins.get(line.at) else {
                continue;
            };
            let zones = &self.shared.day.network.zones;
            targets.push(json!({
                "uid": format!("s{server}"),
                "endpoint": stand_in.addresses.get(sidecar as usize).map(ToString::to_string),
                "az": zones.get(stand_in.zone as usize),
                "model": stand_in.told_kind(),
                "pod_group": stand_in.zone,
                "state": match line.listing {
                    ListedStatus::Ready => "ready",
                    ListedStatus::Draining => "draining",
                    ListedStatus::Gone => "gone",
                },
                "capacity_hint": 1.0,
                "boot_ms": self.shared.clock.boot_ms(line.launched),
            }));
            told.push((server, line.listing, line.launched));
        }
        (
            json!({"rev": book.version, "all": since.is_none(), "targets": targets}),
            told,
        )
    }

    fn note(&self, sidecar: u32, told: &[(u32, ListedStatus, Micros)]) {
        for &(server, listing, launched) in told {
            self.shared.note(LogEvent::EndpointListed {
                sidecar,
                server,
                status: listing,
                incarnation: launched,
            });
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, sidecar: u32) {
        let mut mode = self.mode.subscribe();
        let mut wire = Wire::new(stream);
        let over = async {
            while *mode.borrow_and_update() != Mode::Down {
                if mode.changed().await.is_err() {
                    return;
                }
            }
        };
        let down = *self.mode.borrow() == Mode::Down;
        if down {
            let _ = wire
                .stream
                .write_all(answer("503 Service Unavailable", "", "").as_bytes())
                .await;
            return;
        }
        tokio::select! {
            ended = self.talk(&mut wire, sidecar) => if let Err(fault) = ended {
                tracing::debug!("discovery: {fault}");
            },
            () = over => {}
        }
    }

    /// Waits for as long as it says nothing at all.
    async fn spoken(&self) {
        let mut mode = self.mode.subscribe();
        while *mode.borrow_and_update() == Mode::Silent {
            if mode.changed().await.is_err() {
                return;
            }
        }
    }

    async fn talk(&self, wire: &mut Wire, sidecar: u32) -> std::io::Result<()> {
        let request = wire.request().await?;
        self.shared.note(LogEvent::DiscoveryPolled { sidecar });
        self.spoken().await;
        let (now, most) = (
            self.shared.clock.now(),
            from_ms(self.shared.day.discovery.timeout_ms),
        );
        let turn = {
            let mut book = lock(&self.book);
            let start = book.busy_until.max(now);
            let took = (1e6 / self.shared.day.discovery.capacity) as Micros;
            let fits = start <= now + most;
            if fits {
                book.busy_until = start + took;
            }
            if fits {
                Ok(start + took)
            } else {
                Err(now + most)
            }
        };
        let (Ok(at) | Err(at)) = turn;
        tokio::time::sleep_until(self.shared.clock.instant(at)).await;
        if turn.is_err() || !request.target.starts_with("/v1/endpoints") {
            return wire
                .stream
                .write_all(answer("503 Service Unavailable", "", "").as_bytes())
                .await;
        }
        if request.field("stream").is_none() {
            let (table, told) = self.whole(sidecar);
            wire.stream
                .write_all(answer("200 OK", "", &format!("{table}\n")).as_bytes())
                .await?;
            self.note(sidecar, &told);
            return Ok(());
        }
        wire.stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await?;
        let index = request
            .field("index")
            .and_then(|i| i.parse().ok())
            .unwrap_or(0);
        self.watch(wire, sidecar, index).await
    }

    async fn watch(&self, wire: &mut Wire, sidecar: u32, index: u64) -> std::io::Result<()> {
        let mut version = self.version.subscribe();
        let mut since = Some(index).filter(|&i| i > 0);
        loop {
            version.borrow_and_update();
            self.spoken().await;
            let (table, told) = self.table(sidecar, since);
            since = table["rev"].as_u64();
            chunk(wire, &format!("{table}\n")).await?;
            self.note(sidecar, &told);
            loop {
                tokio::select! {
                    changed = version.changed() => {
                        if changed.is_err() {
                            return Ok(());
                        }
                        let unit = lock(&self.book).chance.unit();
                        let spread = from_ms(self.shared.day.discovery.spread_ms * unit);
                        tokio::time::sleep(Duration::from_micros(spread)).await;
                        break;
                    }
                    () = tokio::time::sleep(HEARTBEAT) => {
                        self.spoken().await;
                        chunk(wire, "\n").await?;
                    }
                    () = wire.gone() => return Ok(()),
                }
            }
        }
    }
}

async fn chunk(wire: &mut Wire, text: &str) -> std::io::Result<()> {
    wire.stream
        .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        .await
}
