//! Stand-in job servers: a machine of the model behind HTTP/1.1, with everything that can go wrong on the wire.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::AbortHandle;

use super::http::{Message, Wire, answer};
use super::{Emulation, EmulatorError, Shared, free_address, lock, pause};
use crate::event_log::{LogEvent, ServerState};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{MachineType, Micros, Servers};
use crate::server_model::{Event, Job, ServerModel, State};

/// How the network answers for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Net {
    Open,
    Refusing,
    Silent,
}

struct Held {
    tx: u64,
    work: f64,
    end: oneshot::Sender<bool>,
}

struct Inner {
    machine: ServerModel,
    launched: Micros,
    draining: bool,
    spoilt: f64,
    resets: f64,
    jobs: HashMap<u64, Held>,
    next_job: u64,
    chance: RandomStream,
    listeners: Vec<AbortHandle>,
    events: Vec<Event>,
}

/// One stand-in. Each sidecar has an address of its own at it, so that it knows who calls.
pub struct EmulatedServer {
    shared: Arc<Shared>,
    /// Its number in the record; a replacement at the same address has another.
    number: AtomicU32,
    pub zone: u32,
    pub addresses: Vec<SocketAddr>,
    inner: Mutex<Inner>,
    wake: Notify,
    /// How the network answers, and the start that connections belong to.
    net: watch::Sender<(Net, u32)>,
}

impl EmulatedServer {
    pub async fn start(
        shared: &Arc<Shared>,
        number: usize,
        kind: &MachineType,
        group: &Servers,
    ) -> Result<Arc<Self>, EmulatorError> {
        let day = &shared.day;
        let zone = day.server_zone(group, number);
        let chance = RandomStream::new(day.seed, StreamId::Machines, (1 << 20) + number);
        let machine = ServerModel::drawn(day, kind, number, 0, group.cold);
        let addresses = (0..day.sidecars.count)
            .map(|_| free_address())
            .collect::<Result<_, _>>()?;
        let this = Arc::new(Self {
            shared: Arc::clone(shared),
            number: AtomicU32::new(number as u32),
            zone,
            addresses,
            inner: Mutex::new(Inner {
                machine,
                launched: u64::from(group.cold),
                draining: false,
                spoilt: 0.0,
                resets: 0.0,
                jobs: HashMap::new(),
                next_job: 1,
                chance,
                listeners: Vec::new(),
                events: Vec::new(),
            }),
            wake: Notify::new(),
            net: watch::channel((Net::Open, 0)).0,
        });
        this.listen().await?;
        this.fate(if group.cold {
            ServerState::Cold
        } else {
            ServerState::Up
        });
        tokio::spawn(Arc::clone(&this).drive());
        Ok(this)
    }

    pub fn number(&self) -> u32 {
        self.number.load(Ordering::Relaxed)
    }

    pub fn launched(&self) -> Micros {
        lock(&self.inner).launched
    }

    pub fn held(&self) -> (u32, u32) {
        let inner = lock(&self.inner);
        (
            inner.machine.held() as u32,
            inner.machine.connections() as u32,
        )
    }

    pub fn fate(&self, fate: ServerState) {
        self.shared.note(LogEvent::ServerStateChanged {
            server: self.number(),
            zone: self.zone,
            state: fate,
        });
    }

    // The network.

    async fn listen(self: &Arc<Self>) -> Result<(), EmulatorError> {
        let mut handles = Vec::new();
        for (sidecar, &address) in self.addresses.iter().enumerate() {
            let listener = TcpListener::bind(address)
                .await
                .map_err(|source| EmulatorError::Listen { address, source })?;
            let this = Arc::clone(self);
            let task = tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(Arc::clone(&this).serve(stream, sidecar as u32));
                }
            });
            handles.push(task.abort_handle());
        }
        lock(&self.inner).listeners = handles;
        Ok(())
    }

    /// Listens with a full queue: further connections never come up, as with a machine that has vanished.
    async fn stall(self: &Arc<Self>) {
        let mut handles = Vec::new();
        for &address in &self.addresses {
            let Ok(socket) = TcpSocket::new_v4() else {
                continue;
            };
            let _ = socket.set_reuseaddr(true);
            let Ok(listener) = socket.bind(address).and_then(|()| socket.listen(0)) else {
                continue;
            };
            let task = tokio::spawn(async move {
                let fill = TcpStream::connect(address).await;
                std::future::pending::<()>().await;
                drop((listener, fill));
            });
            handles.push(task.abort_handle());
        }
        lock(&self.inner).listeners = handles;
    }

    /// Closes the listeners and waits until they are.
    async fn close(&self) {
        let handles = std::mem::take(&mut lock(&self.inner).listeners);
        handles.iter().for_each(AbortHandle::abort);
        for _ in 0..200 {
            if handles.iter().all(AbortHandle::is_finished) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// The process or its machine is gone, and all that it held.
    pub async fn vanish(self: &Arc<Self>, net: Net) {
        self.net.send_modify(|(n, start)| {
            *n = net;
            *start += u32::from(net == Net::Refusing);
        });
        {
            let mut inner = lock(&self.inner);
            let (now, mut events) = (self.shared.clock.now(), std::mem::take(&mut inner.events));
            inner.machine.set_state(now, State::Down, &mut events);
            inner.jobs.clear();
            inner.events = events;
        }
        self.close().await;
        if net == Net::Silent {
            self.stall().await;
        }
    }

    /// It starts cold; under another number where it takes the place of the one before.
    pub async fn comes_back(self: &Arc<Self>, number: Option<u32>) {
        if let Some(number) = number {
            self.number.store(number, Ordering::Relaxed);
        }
        self.close().await;
        let now = self.shared.clock.now();
        {
            let mut inner = lock(&self.inner);
            let mut events = std::mem::take(&mut inner.events);
            inner.machine.set_state(now, State::Up, &mut events);
            inner.events = events;
            (inner.draining, inner.launched) = (false, now);
        }
        let (server, zone, fate) = (self.number(), self.zone, ServerState::Cold);
        self.shared.note_at(
            now,
            LogEvent::ServerStateChanged {
                server,
                zone,
                state: fate,
            },
        );
        self.net
            .send_modify(|(net, start)| (*net, *start) = (Net::Open, *start + 1));
        for _ in 0..50 {
            match self.listen().await {
                Ok(()) => break,
                Err(fault) => {
                    tracing::warn!("a stand-in's address is not free yet: {fault}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
        self.wake.notify_one();
    }

    pub fn set_paused(&self, paused: bool) {
        self.with(|inner, now| {
            let state = if paused { State::Paused } else { State::Up };
            if inner.machine.state() != State::Down {
                inner.machine.set_state(now, state, &mut inner.events);
            }
        });
        self.fate(if paused {
            ServerState::Paused
        } else {
            ServerState::Up
        });
    }

    pub fn set_slower(&self, times: f64) {
        self.with(|inner, now| inner.machine.set_slower(now, times, &mut inner.events));
        self.fate(if times > 1.0 {
            ServerState::Slow
        } else {
            ServerState::Up
        });
    }

    pub fn set_draining(&self) {
        self.with(|inner, _| inner.draining = true);
        self.fate(ServerState::Draining);
    }

    pub fn set_faults(
        &self,
        errors: Option<Option<f64>>,
        spoilt: Option<f64>,
        resets: Option<f64>,
    ) {
        self.with(|inner, _| {
            if let Some(share) = errors {
                inner.machine.set_errors(share);
            }
            inner.spoilt = spoilt.unwrap_or(inner.spoilt);
            inner.resets = resets.unwrap_or(inner.resets);
        });
    }

    /// Changes something, sees to what follows, and has the driver look again.
    fn with<T>(&self, change: impl FnOnce(&mut Inner, Micros) -> T) -> T {
        let now = self.shared.clock.now();
        let (result, fell) = {
            let mut inner = lock(&self.inner);
            let result = change(&mut inner, now);
            (result, self.settle(&mut inner, now))
        };
        if fell {
            self.fate(ServerState::Fallen);
            // Fallen over: its process is there no more for anybody.
            self.net
                .send_modify(|(net, start)| (*net, *start) = (Net::Refusing, *start + 1));
            std::mem::take(&mut lock(&self.inner).listeners)
                .iter()
                .for_each(AbortHandle::abort);
        }
        self.wake.notify_one();
        result
    }

    /// Hands on what the machine did by itself; true if it fell over.
    fn settle(&self, inner: &mut Inner, now: Micros) -> bool {
        let mut fell = false;
        for event in std::mem::take(&mut inner.events) {
            match event {
                Event::Began(_) => {}
                Event::Ended { id, error } => {
                    if let Some(held) = inner.jobs.remove(&id) {
                        let (tx, work) = (held.tx, held.work);
                        self.shared.note_at(
                            now,
                            LogEvent::WorkDone {
                                request: tx,
                                server: self.number(),
                                work,
                            },
                        );
                        let _ = held.end.send(error);
                    }
                }
                Event::Dropped(id) => drop(inner.jobs.remove(&id)),
                Event::Fell => fell = true,
            }
        }
        fell
    }

    /// Lets the machine go on, for as long as the stage stands.
    async fn drive(self: Arc<Self>) {
        loop {
            let next = self.with_quietly();
            match next {
                Some(at) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(self.shared.clock.instant(at)) => self.shared.lagged(at),
                        () = self.wake.notified() => {}
                    }
                }
                None => self.wake.notified().await,
            }
        }
    }

    fn with_quietly(&self) -> Option<Micros> {
        let mut inner = lock(&self.inner);
        let now = self.shared.clock.now();
        let mut events = std::mem::take(&mut inner.events);
        inner.machine.advance(now, &mut events);
        inner.events = events;
        self.settle(&mut inner, now);
        inner.machine.next()
    }

    /// What the table calls its kind; nothing where sidecars are told of none, as in the model.
    pub fn told_kind(&self) -> String {
        let told = self.shared.day.sidecars.knows_machine_types;
        if told {
            lock(&self.inner).machine.kind().name.clone()
        } else {
            String::new()
        }
    }

    // Connections.

    async fn serve(self: Arc<Self>, stream: TcpStream, sidecar: u32) {
        let mut net = self.net.subscribe();
        let start = net.borrow().1;
        let room = lock(&self.inner).machine.connect();
        let _ = stream.set_zero_linger();
        if !room {
            return;
        }
        self.shared.note(LogEvent::ConnectionOpened {
            server: self.number(),
        });
        let mut wire = Wire::new(stream);
        // A new start, or the end of the process, resets what is open.
        let over = async {
            while net.borrow_and_update().1 == start {
                if net.changed().await.is_err() {
                    return;
                }
            }
        };
        let ended = tokio::select! {
            ended = self.talk(&mut wire, sidecar) => ended,
            () = over => Ok(()),
        };
        if let Err(fault) = ended {
            tracing::debug!("job server s{}: {fault}", self.number());
        }
        if self.net.borrow().1 == start {
            lock(&self.inner).machine.disconnect();
        }
    }

    fn is_silent(&self) -> bool {
        self.net.borrow().0 == Net::Silent
    }

    async fn talk(&self, wire: &mut Wire, sidecar: u32) -> std::io::Result<()> {
        let same = self.shared.day.spread_zone(sidecar as usize) == self.zone;
        let mut fresh = true;
        while wire.heard().await? {
            let first = self.shared.clock.now();
            let request = wire.request().await?;
            let delay = self.shared.delay(same, lock(&self.inner).chance.unit());
            let said = if request.target == "/status/load" {
                self.probed(sidecar, delay).await
            } else {
                self.work(wire, &request, sidecar, (first, delay, same), fresh)
                    .await?
            };
            match said {
                Some(said) => wire.stream.write_all(said.as_bytes()).await?,
                // Nothing more is said, and the connection stays.
                None => std::future::pending().await,
            }
            fresh = false;
        }
        Ok(())
    }

    async fn probed(&self, sidecar: u32, delay: Micros) -> Option<String> {
        let server = self.number();
        self.shared
            .note(LogEvent::HealthChecked { sidecar, server });
        pause(delay).await;
        // A process that stands still answers once it goes on.
        while lock(&self.inner).machine.state() == State::Paused {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if self.is_silent() {
            self.shared.probes_swallowed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        let report = self.with(|inner, now| inner.machine.probe(now, &mut inner.events));
        pause(delay).await;
        Some(match report {
            Some(r) => {
                let body = format!("inflight={},eps={:.2},queue={}", r.inflight, r.eps, r.queue);
                answer("200 OK", "", &body)
            }
            None => answer("503 Service Unavailable", "", ""),
        })
    }

    /// One request: what is to be said, nothing for silence, or an error where the connection is to end.
    async fn work(
        &self,
        wire: &mut Wire,
        request: &Message,
        sidecar: u32,
        (first, delay, same): (Micros, Micros, bool),
        fresh: bool,
    ) -> std::io::Result<Option<String>> {
        let tx = request
            .header("x-request-id")
            .and_then(|id| u64::from_str_radix(id, 16).ok());
        let work = request.field("w").and_then(|w| w.parse::<f64>().ok());
        let (Some(tx), Some(work)) = (tx, work) else {
            return Ok(Some(answer("400 Bad Request", "", "")));
        };
        let class = request
            .field("c")
            .and_then(|c| c.parse::<usize>().ok())
            .unwrap_or(0);
        let server = self.number();
        self.shared.note_at(
            first,
            LogEvent::AttemptStarted {
                request: tx,
                sidecar,
                server,
                cross_zone: !same,
            },
        );
        let trips = if fresh {
            lock(&self.inner).machine.kind().handshake_rtts
        } else {
            0.0
        };
        pause(delay + (trips * 2.0 * delay as f64) as Micros).await;
        if self.is_silent() {
            self.shared.swallowed.fetch_add(1, Ordering::Relaxed);
            return Ok(None);
        }
        let wait = request
            .header("x-timeout")
            .and_then(|t| t.strip_suffix('u')?.parse::<u64>().ok());
        let until = first + wait.unwrap_or(600_000_000);
        let noise = self.shared.day.class.get(class).map_or(0.0, |c| c.noise);
        let taken = self.with(|inner, now| {
            let factor = noise * inner.chance.normal() - noise * noise / 2.0;
            let work = if noise > 0.0 {
                work * factor.exp()
            } else {
                work
            };
            let (capacity, cold) = (inner.machine.capacity(now), inner.machine.is_cold(now));
            if fresh {
                inner.machine.handshake(now, &mut inner.events);
            }
            let id = inner.next_job;
            inner.next_job += 1;
            let (end, ended) = oneshot::channel();
            inner.jobs.insert(id, Held { tx, work, end });
            let job = Job { id, work, until };
            let taken = !inner.draining && inner.machine.offer(now, job, &mut inner.events);
            self.shared.note_at(
                now,
                LogEvent::AttemptReceived {
                    request: tx,
                    server,
                    work,
                    capacity,
                    cold,
                },
            );
            if !taken {
                inner.jobs.remove(&id);
                self.shared.note_at(
                    now,
                    LogEvent::AttemptRejected {
                        request: tx,
                        server,
                    },
                );
            }
            taken.then_some((id, ended))
        });
        let Some((id, ended)) = taken else {
            pause(delay).await;
            return Ok(Some(answer(
                "503 Service Unavailable",
                "X-Not-Processed: 1\r\n",
                "",
            )));
        };
        let error = tokio::select! {
            ended = ended => match ended {
                Ok(error) => error,
                // Dropped unseen, or gone with the machine.
                Err(_) => return Ok(None),
            },
            () = wire.gone() => {
                pause(delay).await;
                self.with(|inner, now| {
                    if inner.machine.cancel(now, id, &mut inner.events) {
                        inner.jobs.remove(&id);
                    }
                });
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        };
        let (spoilt, reset, held) = self.with(|inner, now| {
            let held = inner.machine.answer_report(now);
            (
                inner.chance.chance(inner.spoilt),
                inner.chance.chance(inner.resets),
                held,
            )
        });
        let load = held.map_or(String::new(), |held| {
            format!("X-Server-Load: inflight={held}\r\n")
        });
        pause(delay).await;
        if self.is_silent() {
            return Ok(None);
        }
        if reset {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let body = format!("done {tx:016x} at s{server}\n");
        Ok(Some(match (spoilt, error) {
            // A head that cannot be read; the connection stays and is of no further use.
            (true, _) => "HTTP/1.1 2oo OK\r\nContent-Length: -7\r\n\r\n".to_owned(),
            (false, true) => answer("500 Internal Server Error", &load, ""),
            (false, false) => answer(
                "200 OK",
                &format!("Content-Type: text/plain\r\n{load}"),
                &body,
            ),
        }))
    }
}

/// Notes what each stand-in holds, once a second.
pub async fn gauge(scene: &Emulation) {
    let clock = scene.shared.clock;
    for second in 1.. {
        tokio::time::sleep_until(clock.instant(second * 1_000_000)).await;
        for stand_in in &scene.stand_ins {
            let (held, connections) = stand_in.held();
            scene.shared.note(LogEvent::ServerGauge {
                server: stand_in.number(),
                in_flight: held,
                connections,
            });
        }
    }
}
