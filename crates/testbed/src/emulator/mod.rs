//! The stage: the same scenario on loopback sockets, with real `arrowstand` processes between stand-in
//! terminals, job servers and discovery.
//!
//! The stand-in job servers are the model's machines behind an HTTP/1.1 front; what terminals want is drawn as
//! in the model. What was seen goes into one record, which is sorted by time and then read as the model's is.

mod client;
mod counter_check;
mod discovery;
mod emulated_server;
mod error;
mod fault_schedule;
mod http;
mod process;

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hdrhistogram::Histogram;
use tokio::net::TcpSocket;

use crate::audit::Auditor;
use crate::event_log::{EventLog, LogEvent, LogRecord, Tee};
use crate::report::Report;
use crate::scenario::{Micros, Scenario, from_ms};
use crate::statistics::Statistics;

use discovery::Discovery;
use emulated_server::EmulatedServer;
use process::Sidecars;

pub use error::EmulatorError;

/// A wish that began this long after its time, or a timer that fired so late, was played late.
const LATE: Micros = 25_000;
/// Share of them that makes the figures unreliable.
const LATE_SHARE: f64 = 0.01;
/// Job servers and sidecars that one stage may have: sockets and descriptors are the bound.
const PAIRS_MOST: usize = 20_000;

/// What a stage is told beside its day.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program to play with.
    pub program: PathBuf,
    /// Where configurations and logs go; a folder under the system's temporary one if absent.
    pub folder: Option<PathBuf>,
}

/// The stage's clock: microseconds since the day began, and Unix time at its beginning.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_ms: f64,
}

impl Clock {
    fn new(ahead: Duration) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            + ahead;
        Self {
            start: Instant::now() + ahead,
            unix_ms: unix.as_secs_f64() * 1_000.0,
        }
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn instant(&self, at: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + Duration::from_micros(at))
    }

    /// Unix milliseconds of a start; 0 for long ago.
    fn boot_ms(&self, launched: Micros) -> f64 {
        if launched == 0 {
            0.0
        } else {
            self.unix_ms + launched as f64 / 1_000.0
        }
    }
}

/// What all parts of a stage share.
pub struct Shared {
    day: Arc<Scenario>,
    clock: Clock,
    record: Mutex<Vec<LogRecord>>,
    lag: Mutex<Histogram<u64>>,
    numbers: AtomicU64,
    /// Transactions that crossed the close of their connection and found nobody on a new one.
    crossed: Mutex<HashSet<u64>>,
    /// Requests that went into silence, and their like among probes.
    swallowed: AtomicU64,
    probes_swallowed: AtomicU64,
}

/// A poisoned lock is used all the same: the record of a task that panicked is still the record.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Shared {
    fn note_at(&self, at: Micros, entry: LogEvent) {
        lock(&self.record).push(LogRecord { at, event: entry });
    }

    fn note(&self, entry: LogEvent) {
        self.note_at(self.clock.now(), entry);
    }

    /// Records how long after its time something was done.
    fn lagged(&self, due: Micros) {
        let late = self.clock.now().saturating_sub(due);
        lock(&self.lag).saturating_record(late.max(1));
    }

    fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    fn delay(&self, same: bool, unit: f64) -> Micros {
        let network = &self.day.network;
        let base = if same {
            network.same_ms
        } else {
            network.cross_ms
        };
        from_ms(base * (1.0 + network.jitter * unit))
    }
}

/// Waits for a while on the stage's clock; spans under the timer's grain are not waited for.
async fn pause(span: Micros) {
    if span >= 500 {
        tokio::time::sleep(Duration::from_micros(span)).await;
    }
}

/// Ports of the stages lie from here on, below the range from which the system takes its own: a port that is
/// given up for a while must not be taken by somebody's outgoing connection.
const PORT_FIRST: u16 = 12_000;
const PORT_BLOCK: u16 = 1_000;
const PORT_BLOCKS: u16 = 20;

/// Blocks of ports that are this process's, each marked by a listener on its first port, and whose turn it is.
struct Ports {
    marks: Vec<(TcpListener, u16)>,
    turn: usize,
}

static PORTS: Mutex<Ports> = Mutex::new(Ports {
    marks: Vec::new(),
    turn: 0,
});

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn mark() -> Option<(TcpListener, u16)> {
    let starts = (0..PORT_BLOCKS).map(|block| PORT_FIRST + block * PORT_BLOCK);
    starts
        .filter_map(|start| Some((TcpListener::bind(loopback(start)).ok()?, start)))
        .next()
}

/// Tries an address without listening there. Guards against a sidecar that is started in that very moment: up to its
/// exec it holds a copy of every socket, and a copy that listens would keep the address from whom it is for.
fn is_free(address: SocketAddr) -> bool {
    let tried =
        TcpSocket::new_v4().and_then(|s| s.set_reuseaddr(true).and_then(|()| s.bind(address)));
    tried.is_ok()
}

/// A free loopback address. Guards against another stage on this machine that is given the same one before
/// somebody listens there: it is of a block that no other process takes from.
fn free_address() -> Result<SocketAddr, EmulatorError> {
    let (mut ports, each) = (lock(&PORTS), usize::from(PORT_BLOCK) - 1);
    for _ in 0..each * usize::from(PORT_BLOCKS) {
        if ports.turn / each >= ports.marks.len() {
            match mark() {
                Some(block) => ports.marks.push(block),
                None => ports.turn = 0,
            }
        }
        let turn = ports.turn;
        let Some((_, start)) = ports.marks.get(turn / each) else {
            break;
        };
        let address = loopback(start + 1 + (turn % each) as u16);
        ports.turn += 1;
        if is_free(address) {
            return Ok(address);
        }
    }
    Err(EmulatorError::NoFreePort)
}

/// Everything that stands around the sidecars.
pub struct Emulation {
    shared: Arc<Shared>,
    stand_ins: Vec<Arc<EmulatedServer>>,
    discovery: Arc<Discovery>,
    sidecars: Arc<Sidecars>,
}

impl Emulation {
    async fn set(day: &Scenario, options: &Options) -> Result<Self, EmulatorError> {
        let pairs = day.fleet().len() * day.sidecars.count;
        if pairs > PAIRS_MOST {
            return Err(EmulatorError::TooManyPairs {
                pairs,
                max: PAIRS_MOST,
            });
        }
        let ahead = Duration::from_millis(1_500 + 30 * day.sidecars.count as u64 + pairs as u64);
        let shared = Arc::new(Shared {
            day: Arc::new(day.clone()),
            clock: Clock::new(ahead),
            record: Mutex::default(),
            lag: Mutex::new(
                Histogram::new_with_bounds(1, 600_000_000, 3)
                    .unwrap_or_else(|_| unreachable!("fixed bounds")),
            ),
            numbers: AtomicU64::new(1),
            crossed: Mutex::default(),
            swallowed: AtomicU64::new(0),
            probes_swallowed: AtomicU64::new(0),
        });
        let mut stand_ins = Vec::new();
        for (number, (kind, group)) in day.fleet().into_iter().enumerate() {
            stand_ins.push(EmulatedServer::start(&shared, number, kind, group).await?);
        }
        let discovery = Discovery::start(&shared, &stand_ins).await?;
        let sidecars = Sidecars::new(&shared, &discovery, options)?;
        Ok(Self {
            shared,
            stand_ins,
            discovery,
            sidecars,
        })
    }

    /// The record so far, by time. A request that crossed the close of its connection was not taken, unless a
    /// job server knows better.
    fn record(&self) -> Vec<LogRecord> {
        let mut record = lock(&self.shared.record).clone();
        record.sort_by_key(|line| line.at);
        let mut crossed = lock(&self.shared.crossed).clone();
        for line in &record {
            if let LogEvent::AttemptStarted { request: tx, .. } = line.event {
                crossed.remove(&tx);
            }
        }
        record.retain(|line| match line.event {
            LogEvent::RequestAccepted { request: tx, .. }
            | LogEvent::ResponseReceived { request: tx, .. } => !crossed.contains(&tx),
            _ => true,
        });
        record
    }

    /// Why the figures are not to be relied on, where the machine ran late.
    fn late(&self) -> Option<String> {
        lateness(&lock(&self.shared.lag))
    }
}

/// Why figures are not to be relied on, from how late things were done; nothing where they may be.
fn lateness(lag: &Histogram<u64>) -> Option<String> {
    let late = lag.count_between(LATE, lag.high());
    (late as f64 > LATE_SHARE * lag.len() as f64).then(|| {
        let worst = lag.value_at_quantile(1.0 - LATE_SHARE) as f64 / 1_000.0;
        format!("the machine ran late: 1 % of what was due was done {worst:.0} ms late or more")
    })
}

/// Plays a day on sockets and sums it up; `further` reads the record too.
///
/// # Errors
/// What could not be set up or started.
pub fn run(
    day: &Scenario,
    options: &Options,
    further: Option<&mut dyn EventLog>,
) -> Result<Report, EmulatorError> {
    let runtime = runtime()?;
    let (record, late, counted) = runtime.block_on(async {
        let scene = Emulation::set(day, options).await?;
        scene.sidecars.start_all().await?;
        let play = fault_schedule::play(&scene);
        let load = client::load(&scene);
        let gauge = emulated_server::gauge(&scene);
        tokio::select! {
            () = async { tokio::join!(play, load); } => {}
            () = gauge => {}
        }
        // What is on its way may still arrive.
        tokio::time::sleep(Duration::from_millis(400)).await;
        let counters = scene.sidecars.end_all().await;
        let record = scene.record();
        let counted = counter_check::compare(&scene, &record, &counters);
        Ok::<_, EmulatorError>((record, scene.late(), counted))
    })?;
    let extra = from_ms(day.rules.emulator_extra_ms);
    let (mut auditor, mut tally) = (Auditor::new(day, extra), Statistics::new(day));
    let mut readers = Tee {
        first: &mut auditor,
        second: &mut tally,
        further,
    };
    record.iter().for_each(|line| readers.note(line));
    auditor.finish();
    let mut report = tally.report("emulator", day.seed);
    report.audited(&auditor);
    report.expect(&day.expect);
    report.unreliable = late;
    report.counter_differences = counted.differences;
    report.remarks = counted.remarks;
    Ok(report)
}

/// Holds the stand-ins up, for a person to try a sidecar by hand, until the program is interrupted.
///
/// # Errors
/// What could not be set up.
pub fn serve(
    day: &Scenario,
    options: &Options,
    say: impl FnOnce(String),
) -> Result<(), EmulatorError> {
    runtime()?.block_on(async {
        let scene = Emulation::set(day, options).await?;
        say(scene.sidecars.by_hand()?);
        tokio::select! {
            () = fault_schedule::play_for_ever(&scene) => {}
            interrupted = tokio::signal::ctrl_c() => interrupted.map_err(EmulatorError::Interrupt)?,
        }
        Ok(())
    })
}

fn runtime() -> Result<tokio::runtime::Runtime, EmulatorError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(EmulatorError::Runtime)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn addresses_differ_and_lie_in_blocks_that_nobody_else_can_mark() {
        let taken: Vec<u16> = (0..1_200)
            .map(|_| free_address().expect("free").port())
            .collect();
        assert_eq!(taken.iter().collect::<HashSet<_>>().len(), taken.len());
        for port in taken {
            let start = port - port % PORT_BLOCK;
            assert!(
                port != start && TcpListener::bind(loopback(start)).is_err(),
                "{port}"
            );
        }
    }

    #[test]
    fn a_machine_that_runs_late_is_noticed_and_one_that_just_does_not_is_believed() {
        let lag = |late: u64| {
            let mut lag = Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds");
            lag.record_n(900, 1_000 - late).expect("recorded");
            lag.record_n(2 * LATE, late).expect("recorded");
            lateness(&lag)
        };
        assert_eq!(lag(10), None);
        assert!(lag(11).is_some_and(|why| why.contains("ran late")));
    }
}
