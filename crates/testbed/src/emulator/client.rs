//! The load tool: terminals that ask on time whatever comes back. A wish's time runs from when it was due, not
//! from when it could be sent, so that a stall is counted against everybody who would have asked in it.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use super::http::{Message, Wire};
use super::process::Sidecars;
use super::{Emulation, Shared, lock};
use crate::event_log::{LogEvent, RequestOutcome};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Effect, Micros, from_ms};
use crate::workload::{Arrival, ArrivalStream, TenantQuota, parts, quotas};

/// An idle connection is used again within this: under the time after which a sidecar may close it.
const IDLE: Duration = Duration::from_millis(1_400);

/// The terminals of one sidecar.
struct Clients {
    shared: Arc<Shared>,
    sidecars: Arc<Sidecars>,
    sidecar: u32,
    address: SocketAddr,
    idle: Mutex<Vec<(Instant, Wire)>>,
    quotas: Arc<Mutex<Vec<TenantQuota>>>,
    open: Arc<std::sync::atomic::AtomicUsize>,
}

/// How one try ended, and the pause that was advised.
type Ended = (RequestOutcome, Option<Micros>);

/// Plays all wishes to their ends.
pub async fn load(scene: &Emulation) {
    let day = Arc::clone(&scene.shared.day);
    let quotas = Arc::new(Mutex::new(quotas(&day)));
    let open = Arc::default();
    let mut all = tokio::task::JoinSet::new();
    for (number, part) in parts(&day).into_iter().enumerate() {
        let terminals = Arc::new(Clients {
            shared: Arc::clone(&scene.shared),
            sidecars: Arc::clone(&scene.sidecars),
            sidecar: number as u32,
            address: scene.sidecars.address(number),
            idle: Mutex::default(),
            quotas: Arc::clone(&quotas),
            open: Arc::clone(&open),
        });
        let wishes = ArrivalStream::new(&day, number, part);
        all.spawn(async move {
            let mut open = tokio::task::JoinSet::new();
            for (turn, wish) in wishes.enumerate() {
                let clock = terminals.shared.clock;
                tokio::time::sleep_until(clock.instant(wish.at)).await;
                terminals.shared.lagged(wish.at);
                open.spawn(Arc::clone(&terminals).wish(wish, turn));
                while open.try_join_next().is_some() {}
            }
            while open.join_next().await.is_some() {}
        });
    }
    while all.join_next().await.is_some() {}
}

impl Clients {
    /// One wish with all its tries.
    async fn wish(self: Arc<Self>, wish: Arrival, turn: usize) {
        use std::sync::atomic::Ordering::Relaxed;
        let (shared, day) = (&self.shared, &self.shared.day);
        let (ask, Arrival { class, shop, .. }) = (shared.number(), wish);
        let within = lock(&self.quotas)
            .get_mut(usize::from(shop))
            .is_none_or(|quota| quota.take(shared.clock.now()));
        shared.note_at(
            wish.at,
            LogEvent::ArrivalStarted {
                arrival: ask,
                sidecar: self.sidecar,
                class,
                tenant: shop,
                within_share: within,
                work: wish.work,
            },
        );
        if self.open.load(Relaxed) >= day.load.max_open_requests {
            shared.note(LogEvent::ArrivalEnded {
                arrival: ask,
                outcome: RequestOutcome::NotPlayed,
                requests: 0,
            });
            return;
        }
        self.open.fetch_add(1, Relaxed);
        let mut chance = RandomStream::new(
            day.seed,
            StreamId::Clients,
            (1 << 38) + ((self.sidecar as usize) << 22) + turn,
        );
        let rules = &day.class[usize::from(class)];
        let (full, deadline) = (
            from_ms(rules.deadline_ms),
            wish.at + from_ms(rules.deadline_ms),
        );
        let mut tries = 0;
        let how = loop {
            tries += 1;
            let [least, most] = day.clients.timeout_share;
            let from = if tries == 1 {
                wish.at
            } else {
                shared.clock.now()
            };
            let due = (from + (full as f64 * chance.between(least, most)) as Micros).min(deadline);
            let leaves = chance.chance(day.clients.disconnect_share);
            let leaves_at = from + (chance.unit() * due.saturating_sub(from) as f64) as Micros;
            let tx = shared.number();
            let until = if leaves { leaves_at } else { due };
            let (how, pause) = self.attempt(&wish, ask, tx, due, until).await;
            let how = if leaves && how == RequestOutcome::Unanswered {
                RequestOutcome::Disconnected
            } else {
                how
            };
            match how {
                RequestOutcome::Unreachable => {}
                RequestOutcome::Disconnected => {
                    shared.note(LogEvent::ClientDisconnected { request: tx })
                }
                RequestOutcome::Unanswered => {}
                how => shared.note(LogEvent::ResponseReceived {
                    request: tx,
                    outcome: how,
                }),
            }
            let again = match how {
                RequestOutcome::Rejected | RequestOutcome::Unreachable => true,
                RequestOutcome::Failed
                | RequestOutcome::ConnectionLost
                | RequestOutcome::Unanswered => rules.idempotency == Effect::Safe,
                _ => false,
            };
            let [least, most] = day.clients.backoff_ms;
            let backoff = from_ms(chance.between(least, most));
            let told = pause.filter(|_| wish.honours && how == RequestOutcome::Rejected);
            let wait = told.map_or(backoff, |p| p.max(1));
            if !again || tries > day.clients.retries || shared.clock.now() + wait >= deadline {
                break how;
            }
            tokio::time::sleep(Duration::from_micros(wait)).await;
        };
        shared.note(LogEvent::ArrivalEnded {
            arrival: ask,
            outcome: how,
            requests: tries,
        });
        self.open.fetch_sub(1, Relaxed);
    }

    fn request(&self, wish: &Arrival, tx: u64, due: Micros) -> String {
        let rules = &self.shared.day.class[usize::from(wish.class)];
        let left = due.saturating_sub(self.shared.clock.now()).max(1);
        let (method, key, body) = match rules.idempotency {
            Effect::Safe => ("GET", String::new(), ""),
            Effect::Keyed => (
                "POST",
                format!("Idempotency-Key: k{tx:016x}\r\n"),
                "{\"order\":1}",
            ),
            Effect::Unsafe => ("POST", String::new(), "{\"slot\":3}"),
        };
        let shop = self
            .shared
            .day
            .tenant
            .get(usize::from(wish.shop))
            .map_or("none", |s| s.name.as_str());
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let cost = wish
            .hint
            .map_or(String::new(), |hint| format!("X-Cost: {hint}\r\n"));
        format!(
            "{method} /api?w={:.1}&c={} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {tx:016x}\r\n\
             X-Priority-Class: {}\r\nX-Tenant-Id: {shop}\r\nX-Timeout: {left}u\r\n{cost}{key}{length}\r\n{body}",
            wish.work, wish.class, rules.name
        )
    }

    /// One try: a transaction.
    async fn attempt(
        &self,
        wish: &Arrival,
        ask: u64,
        tx: u64,
        due: Micros,
        until: Micros,
    ) -> Ended {
        let clock = self.shared.clock;
        let life = self.sidecars.life(self.sidecar);
        // An answer on its way at the deadline is still read: whether it came in time is the auditor's.
        let grace = from_ms(
            self.shared.day.rules.response_grace_ms + self.shared.day.rules.emulator_extra_ms,
        );
        let last = if until < due { until } else { due + 2 * grace };
        let mut taken = false;
        let talk = async {
            loop {
                let kept = self.take_idle();
                let reused = kept.is_some();
                let mut wire = match kept {
                    Some(wire) => wire,
                    None => match TcpStream::connect(self.address).await {
                        Ok(stream) => Wire::new(stream),
                        // Nobody listens. What was written before crossed the close of its connection.
                        Err(_) => {
                            if taken {
                                lock(&self.shared.crossed).insert(tx);
                            }
                            return (RequestOutcome::Unreachable, None);
                        }
                    },
                };
                let text = self.request(wish, tx, due);
                let written = wire.stream.write_all(text.as_bytes()).await;
                if written.is_ok() && !taken {
                    taken = true;
                    let (sidecar, class) = (self.sidecar, wish.class);
                    self.shared.note(LogEvent::RequestAccepted {
                        request: tx,
                        arrival: ask,
                        sidecar,
                        class,
                        due,
                    });
                }
                let said = match written {
                    Ok(()) => wire.answer().await,
                    Err(fault) => Err(fault),
                };
                match said {
                    Ok(message) => {
                        let ended = judge(&message, tx);
                        if message
                            .header("connection")
                            .is_none_or(|c| !c.eq_ignore_ascii_case("close"))
                        {
                            lock(&self.idle).push((Instant::now(), wire));
                        }
                        return ended;
                    }
                    // A connection that was closed as the request crossed is tried once more on a new one,
                    // unless its sidecar was ended in between: then what it did is not known.
                    Err(fault) => {
                        self.sidecars.settled(self.sidecar).await;
                        let crossed =
                            reused && is_close(&fault) && self.sidecars.life(self.sidecar) == life;
                        if !crossed {
                            return (
                                if taken {
                                    RequestOutcome::ConnectionLost
                                } else {
                                    RequestOutcome::Unreachable
                                },
                                None,
                            );
                        }
                        lock(&self.idle).clear();
                    }
                }
            }
        };
        timeout_at(clock.instant(last), talk)
            .await
            .unwrap_or((RequestOutcome::Unanswered, None))
    }

    fn take_idle(&self) -> Option<Wire> {
        let mut idle = lock(&self.idle);
        idle.retain(|(since, _)| since.elapsed() < IDLE);
        idle.pop().map(|(_, wire)| wire)
    }
}

fn is_close(fault: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionReset, UnexpectedEof};
    matches!(fault.kind(), BrokenPipe | ConnectionReset | UnexpectedEof)
}

/// What an answer says, and whether it is a job server's answer to this very request.
fn judge(message: &Message, tx: u64) -> Ended {
    let pause = message
        .header("retry-after")
        .and_then(|p| p.parse::<f64>().ok());
    let pause = pause.map(|seconds| (seconds.clamp(0.0, 600.0) * 1e6) as Micros);
    let own = format!("done {tx:016x} at s");
    let how = match message.status {
        200 if message.body.starts_with(own.as_bytes()) => RequestOutcome::Served,
        200 => RequestOutcome::Mismatched,
        429 | 503 => RequestOutcome::Rejected,
        _ => RequestOutcome::Failed,
    };
    (how, pause)
}
