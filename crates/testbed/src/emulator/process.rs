//! The real sidecars: configured, started, restarted, and asked for their counters.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

use super::discovery::Discovery;
use super::http::{Message, Wire};
use super::{EmulatorError, Options, Shared, free_address, lock};
use crate::event_log::{LogEvent, ProcessState};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Class, DeduplicationGroup, Effect, Micros, ReportSource, Scenario, from_ms};

/// A sidecar must be ready within this.
const READY: Duration = Duration::from_secs(20);

/// Counts by name, as the program prints them.
pub type Counters = BTreeMap<String, u64>;

struct Sidecar {
    address: SocketAddr,
    life: AtomicU32,
    child: Mutex<Option<Child>>,
    /// Counters of lives that ended by themselves.
    ended: Mutex<Counters>,
    killed: AtomicU32,
    /// Killed, and not yet known to be gone.
    dying: AtomicBool,
    seeds: Mutex<RandomStream>,
}

/// All of them.
pub struct Sidecars {
    shared: Arc<Shared>,
    discovery: Arc<Discovery>,
    program: PathBuf,
    folder: PathBuf,
    /// The operator's table of kinds, read by each sidecar that starts.
    machines: PathBuf,
    list: Vec<Sidecar>,
}

/// What the fleet's counters add up to.
#[derive(Default)]
pub struct Counted {
    pub sum: Counters,
    /// Lives that ended without telling.
    pub killed: u32,
    /// Sidecars that did not tell at their end.
    pub mute: u32,
}

fn read(text: &str) -> Counters {
    let pair = |line: &str| {
        let (name, value) = line.trim().split_once(' ')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    text.lines().filter_map(pair).collect()
}

fn class(class: &Class) -> Value {
    let semantics = match class.idempotency {
        Effect::Safe => "pure",
        Effect::Unsafe => "side_effect",
        Effect::Keyed => "token",
    };
    json!({
        "name": class.name, "semantics": semantics, "importance": class.priority_weight, "late-value": class.late_value,
        "objective-ms": class.latency_objective_ms, "deadline-ms": class.deadline_ms, "window-ms": class.deduplication_window_ms,
        "dedup-scope": if class.deduplication_scope == DeduplicationGroup::Zone { "zone" } else { "all" }, "streamed": false,
    })
}

/// A sidecar's settings, in the platform's form; `sidecar::settings` of the model says the same to the module.
fn settings(day: &Scenario, number: usize) -> Value {
    let allow = &day.permissions;
    let classes: Vec<Value> = day.class.iter().map(class).collect();
    let report = match day.load_reports.source {
        ReportSource::Probe => {
            json!({"source": "probe", "fields": ["active", "err_rps", "waiting"]})
        }
        ReportSource::Answers => json!({"source": "answers", "fields": ["active"]}),
    };
    json!({
        "az": day.network.zones.get(day.spread_zone(number) as usize),
        "zones": day.network.zones, "balancers": day.sidecars.count, "my-number": number,
        "membership-mode": "on_request", "worth-by": if day.load.weight_by_work { "work" } else { "request" }, "step-ms": 5.0, "request-classes": classes,
        "permissions": {
            "cancel": allow.cancellation, "probes": allow.health_checks, "may-duplicate": allow.hedging,
            "retry-after": false, "max-retry-after-ms": allow.max_retry_after_ms, "peers": false,
            "max-attempts": allow.max_attempts, "connect-timeout-ms": allow.connect_timeout_ms,
            "idle-close-ms": allow.idle_timeout_s * 1_000.0,
        },
        "fees": {"probe": day.prices.health_check, "handshake": day.prices.handshake, "cross-zone": day.prices.cross_zone},
        "report": report,
        "safety": {
            "ask-every-ms": allow.max_poll_interval_ms, "drain-grace-ms": day.rules.drain_grace_ms,
            "cold-from": day.machine_type.iter().map(|k| k.cold_capacity_share).fold(1.0, f64::min),
            "cold-ms": day.machine_type.iter().map(|k| k.slow_start_s).fold(0.0, f64::max) * 1_000.0,
            "overload-factor": day.rules.cold_overload_factor, "fall-ms": day.rules.cold_overload_window_ms,
        },
    })
}

/// The operator's table of kinds, empty where sidecars are told of none.
fn write_machines(day: &Scenario, folder: &Path) -> Result<PathBuf, EmulatorError> {
    let told = day
        .machine_type
        .iter()
        .filter(|_| day.sidecars.knows_machine_types);
    let told: Vec<Value> = told
        .map(|k| json!({"model": k.name, "cores": k.cores, "speed": k.speed}))
        .collect();
    let path = folder.join("machines.json");
    let text = json!({"machines": told}).to_string();
    write(path, &text)
}

fn write(path: PathBuf, text: &str) -> Result<PathBuf, EmulatorError> {
    match std::fs::write(&path, text) {
        Ok(()) => Ok(path),
        Err(source) => Err(EmulatorError::Write { path, source }),
    }
}

impl Sidecars {
    pub fn new(
        shared: &Arc<Shared>,
        discovery: &Arc<Discovery>,
        options: &Options,
    ) -> Result<Arc<Self>, EmulatorError> {
        let own = || std::env::temp_dir().join(format!("arrowstand-stage-{}", std::process::id()));
        let folder = options.folder.clone().unwrap_or_else(own);
        std::fs::create_dir_all(&folder).map_err(|source| EmulatorError::Write {
            path: folder.clone(),
            source,
        })?;
        let one = |number| {
            Ok(Sidecar {
                address: free_address()?,
                life: AtomicU32::new(0),
                child: Mutex::new(None),
                ended: Mutex::default(),
                killed: AtomicU32::new(0),
                dying: AtomicBool::new(false),
                seeds: Mutex::new(RandomStream::new(shared.day.seed, StreamId::Seeds, number)),
            })
        };
        let list = (0..shared.day.sidecars.count)
            .map(one)
            .collect::<Result<_, EmulatorError>>()?;
        let (shared, discovery) = (Arc::clone(shared), Arc::clone(discovery));
        // Written once: guards against a sidecar that reads it, as it starts, while it is written for the next.
        let machines = write_machines(&shared.day, &folder)?;
        Ok(Arc::new(Self {
            shared,
            discovery,
            program: options.program.clone(),
            folder,
            machines,
            list,
        }))
    }

    pub fn address(&self, number: usize) -> SocketAddr {
        self.list[number].address
    }

    /// Counts the lives of a sidecar: it rises as one begins to end.
    pub fn life(&self, number: u32) -> u32 {
        self.list[number as usize].life.load(Ordering::SeqCst)
    }

    /// Waits until a sidecar that is being killed is recorded as gone: what it closed on was lost by the kill.
    pub async fn settled(&self, number: u32) {
        while self.list[number as usize].dying.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    fn write_config(&self, number: usize) -> Result<PathBuf, EmulatorError> {
        let sidecar = &self.list[number];
        let (known, told) = self.discovery.whole(number as u32);
        for (server, listing, launched) in told {
            self.shared.note(LogEvent::EndpointListed {
                sidecar: number as u32,
                server,
                status: listing,
                incarnation: launched,
            });
        }
        let day = &self.shared.day;
        let config = json!({
            "name": format!("n{number}"), "listen": sidecar.address.to_string(),
            "discovery": self.discovery.addresses[number].to_string(),
            "seed": format!("{:016x}", lock(&sidecar.seeds).number()),
            "limits": {"cores": 1.0, "memory_mb": day.sidecars.memory_mb, "sockets": day.sidecars.sockets},
            "known": known, "settings": settings(day, number),
        });
        let path = self.folder.join(format!("n{number}.json"));
        write(path, &config.to_string())
    }

    fn log(&self, number: usize) -> PathBuf {
        let life = self.list[number].life.load(Ordering::SeqCst);
        self.folder.join(format!("n{number}-{life}.log"))
    }

    fn start(&self, number: usize) -> Result<(), EmulatorError> {
        self.shared.note(LogEvent::SidecarStateChanged {
            sidecar: number as u32,
            state: ProcessState::Up,
        });
        let config = self.write_config(number)?;
        let log = File::create(self.log(number)).map_err(|source| EmulatorError::CreateLog {
            sidecar: format!("n{number}"),
            source,
        })?;
        let child = Command::new(&self.program)
            .env_remove("NODE_NAME")
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env("NODE_CONFIG", config)
            .env("ARROWSTAND_MACHINES", &self.machines)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| EmulatorError::Spawn {
                program: self.program.clone(),
                source,
            })?;
        *lock(&self.list[number].child) = Some(child);
        Ok(())
    }

    /// Starts all and waits until each is ready.
    pub async fn start_all(&self) -> Result<(), EmulatorError> {
        for number in 0..self.list.len() {
            self.start(number)?;
        }
        for (number, sidecar) in self.list.iter().enumerate() {
            let ready = async {
                loop {
                    if let Ok(answer) = get(sidecar.address, "/ready").await
                        && answer.status == 200
                    {
                        return Ok(());
                    }
                    if let Some(ended) = lock(&sidecar.child)
                        .as_mut()
                        .and_then(|c| c.try_wait().ok()?)
                    {
                        let said = std::fs::read_to_string(self.log(number)).unwrap_or_default();
                        let last = said.lines().last().unwrap_or("nothing in its log");
                        return Err(EmulatorError::EndedAtStart {
                            sidecar: format!("n{number}"),
                            status: ended,
                            last_line: last.to_owned(),
                        });
                    }
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            };
            let late = |_| {
                Err(EmulatorError::NotReady {
                    sidecar: format!("n{number}"),
                    limit: READY,
                    log: self.log(number),
                })
            };
            tokio::time::timeout(READY, ready)
                .await
                .unwrap_or_else(late)?;
        }
        Ok(())
    }

    fn signal(&self, number: usize, signal: Signal) -> bool {
        let pid = lock(&self.list[number].child).as_ref().and_then(Child::id);
        pid.is_some_and(|pid| kill(Pid::from_raw(pid as i32), signal).is_ok())
    }

    async fn wait(&self, number: usize, most: Duration) {
        let child = lock(&self.list[number].child).take();
        let Some(mut child) = child else { return };
        if tokio::time::timeout(most, child.wait()).await.is_err() {
            tracing::warn!("n{number} did not end in {most:?}");
            let _ = child.kill().await;
        }
    }

    /// Restarts one: killed outright, or told to end and waited for.
    pub async fn restart(&self, number: usize, down: Micros, outright: bool) {
        let sidecar = &self.list[number];
        let from = tokio::time::Instant::now();
        let name = number as u32;
        let back = from + Duration::from_micros(down);
        if outright {
            sidecar.life.fetch_add(1, Ordering::SeqCst);
            sidecar.killed.fetch_add(1, Ordering::SeqCst);
            self.shared.note(LogEvent::SidecarStateChanged {
                sidecar: name,
                state: ProcessState::Killed,
            });
            sidecar.dying.store(true, Ordering::SeqCst);
            self.signal(number, Signal::SIGKILL);
            self.wait(number, READY).await;
            // What came between the signal and its effect was lost by the same kill.
            self.shared.note(LogEvent::SidecarStateChanged {
                sidecar: name,
                state: ProcessState::Killed,
            });
            sidecar.dying.store(false, Ordering::SeqCst);
        } else {
            self.shared.note(LogEvent::SidecarStateChanged {
                sidecar: name,
                state: ProcessState::Ending,
            });
            let log = self.log(number);
            self.signal(number, Signal::SIGTERM);
            let longest = self
                .shared
                .day
                .class
                .iter()
                .map(|c| c.deadline_ms)
                .fold(3_000.0, f64::max);
            self.wait(number, Duration::from_micros(from_ms(longest) + 900_000))
                .await;
            sidecar.life.fetch_add(1, Ordering::SeqCst);
            self.shared.note(LogEvent::SidecarStateChanged {
                sidecar: name,
                state: ProcessState::Ended,
            });
            self.told(number, &log);
        }
        tokio::time::sleep_until(back).await;
        if let Err(fault) = self.start(number) {
            tracing::error!("n{number} did not start again: {fault}");
        }
    }

    /// Reads the counters that a sidecar printed as it ended; false if it did not.
    fn told(&self, number: usize, log: &Path) -> bool {
        let said = std::fs::read_to_string(log).unwrap_or_default();
        let last = said.rsplit_once("stopped\n").map(|(_, last)| read(last));
        last.as_ref()
            .inspect(|last| add(&mut lock(&self.list[number].ended), last))
            .is_some()
    }

    /// Ends all, and gathers what they counted to the last one.
    pub async fn end_all(&self) -> Counted {
        let mut all = Counted::default();
        for number in 0..self.list.len() {
            self.signal(number, Signal::SIGTERM);
        }
        for (number, sidecar) in self.list.iter().enumerate() {
            let log = self.log(number);
            self.wait(number, Duration::from_secs(10)).await;
            all.mute += u32::from(!self.told(number, &log));
            all.killed += sidecar.killed.load(Ordering::SeqCst);
            add(&mut all.sum, &lock(&sidecar.ended));
        }
        all
    }

    /// Writes the configurations and tells how to start sidecars by hand.
    pub fn by_hand(&self) -> Result<String, EmulatorError> {
        let mut text = String::new();
        for number in 0..self.list.len() {
            let config = self.write_config(number)?;
            text += &format!(
                "NODE_CONFIG={} {}\n",
                config.display(),
                self.program.display()
            );
        }
        Ok(text)
    }
}

fn add(sum: &mut Counters, more: &Counters) {
    for (name, value) in more {
        *sum.entry(name.clone()).or_default() += value;
    }
}

async fn get(address: SocketAddr, path: &str) -> std::io::Result<Message> {
    let mut wire = Wire::new(TcpStream::connect(address).await?);
    wire.stream
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes())
        .await?;
    wire.answer().await
}
