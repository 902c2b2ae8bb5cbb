//! Deployments where responses tell of load, requests tell of their work and late responses keep
//! some value.

use std::collections::BTreeMap;

use crate::common::{Driver, MS, endpoint, endpoint_changed, is_rejected, sent_to, settings};
use arrowstand_balancer::{
    AttemptEnd, Endpoint, Event, Fees, HostCapabilities, LoadReport, Micros, Outcome, RequestId,
    ServerId, Settings, SlowStartSettings,
};

/// No load checks before a send; a late response keeps a fifth of its value.
fn settings_with_load_in_responses() -> Settings {
    let mut base = settings();
    base.classes
        .iter_mut()
        .for_each(|class| class.late_value = 0.2);
    Settings {
        host: HostCapabilities {
            load_reports: true,
            load_reports_in_responses: true,
            ..base.host
        },
        fees: Fees {
            health_check: 0.01,
            ..base.fees
        },
        ..base
    }
}

/// A server that executes all its requests at once, on two cores.
struct EmulatedServer {
    /// Requests in flight and the milliseconds of work left of each.
    left: Vec<(RequestId, f64)>,
    speed: f64,
}

impl EmulatedServer {
    /// Executes for some milliseconds and returns the requests that are done.
    fn work(&mut self, ms: f64) -> Vec<RequestId> {
        let each = self.speed * ms * (2.0 / self.left.len().max(1) as f64).min(1.0);
        self.left.iter_mut().for_each(|(_, left)| *left -= each);
        let done = self
            .left
            .iter()
            .filter(|(_, left)| *left <= 0.0)
            .map(|(id, _)| *id)
            .collect();
        self.left.retain(|(_, left)| *left > 0.0);
        done
    }
}

/// A balancer with such servers, and what became of the requests.
struct Fleet {
    driver: Driver,
    servers: Vec<EmulatedServer>,
    started: BTreeMap<RequestId, (Micros, ServerId)>,
    /// When, to which server and how many milliseconds of work were sent.
    sends: Vec<(Micros, ServerId, f64)>,
    in_time: u32,
    late: u32,
    rejected: u32,
}

impl Fleet {
    fn new(settings: Settings, servers: u32, seed: u64) -> Self {
        let driver = Driver::seeded(settings, servers, seed);
        let servers = (0..servers)
            .map(|_| EmulatedServer {
                left: Vec::new(),
                speed: 1.0,
            })
            .collect();
        Self {
            driver,
            servers,
            started: Default::default(),
            sends: Vec::new(),
            in_time: 0,
            late: 0,
            rejected: 0,
        }
    }

    /// A request of so many milliseconds of work arrives, with a hint of it.
    fn arrive(&mut self, work_ms: f64) {
        self.arrive_with_hint(work_ms, Some((work_ms * 1_000.0) as Micros));
    }

    fn arrive_with_hint(&mut self, work_ms: f64, hint: Option<Micros>) {
        let (id, actions) = self.driver.request_with_hint(0, hint);
        self.rejected += u32::from(is_rejected(&actions));
        if let Some(server) = sent_to(&actions) {
            self.started.insert(id, (self.driver.now, server));
            self.sends.push((self.driver.now, server, work_ms));
            self.servers[server.0 as usize].left.push((id, work_ms));
        }
    }

    /// Five milliseconds pass.
    fn step(&mut self) {
        self.driver.now += 5 * MS;
        let now = self.driver.now;
        if now % (25 * MS) == 0 {
            self.driver.tick();
        }
        for (n, server_model) in self.servers.iter_mut().enumerate() {
            let in_flight = server_model.left.len() as f64;
            for request in server_model.work(5.0) {
                let (since, server) = self.started.remove(&request).expect("started");
                let elapsed = now - since;
                let end = AttemptEnd {
                    request,
                    attempt: 0,
                    server,
                    outcome: Outcome::Served,
                    finished: true,
                    elapsed,
                    load_report: Some(LoadReport {
                        in_flight,
                        queued: 0.0,
                    }),
                };
                assert_eq!(n as u32, server.0);
                self.driver.handle(Event::AttemptEnded(end));
                if elapsed <= 250 * MS {
                    self.in_time += 1
                } else {
                    self.late += 1
                }
            }
        }
        self.time_out_requests();
    }

    /// Ends the requests whose clients have given up.
    fn time_out_requests(&mut self) {
        let now = self.driver.now;
        let is_over = |since: Micros| since + 600 * MS <= now;
        let over = self
            .started
            .iter()
            .filter(|(_, (since, _))| is_over(*since));
        let over: Vec<(RequestId, ServerId)> =
            over.map(|(id, (_, server))| (*id, *server)).collect();
        for (request, server) in over {
            self.started.remove(&request);
            self.servers[server.0 as usize]
                .left
                .retain(|(id, _)| *id != request);
            self.late += 1;
            self.driver
                .end_attempt(request, 0, server, Outcome::TimedOut);
        }
    }

    /// Requests of 10 to 70 ms of work arrive at a share of the servers' capacity, for some
    /// seconds.
    fn load(&mut self, share: f64, seconds: u32) {
        let step_work = share * 2.0 * 5.0 * self.servers.len() as f64;
        let (mut due_work, mut rng) = (0.0, fastrand::Rng::with_seed(5));
        for _ in 0..seconds * 200 {
            due_work += step_work;
            while due_work > 0.0 {
                let work = 10.0 + 60.0 * rng.f64();
                due_work -= work;
                self.arrive(work);
            }
            self.step();
        }
    }

    /// Requests in time, late and rejected since the last call.
    fn counts(&mut self) -> (u32, u32, u32) {
        let counts = (self.in_time, self.late, self.rejected);
        (self.in_time, self.late, self.rejected) = (0, 0, 0);
        counts
    }
}

#[test]
fn burst_leaves_no_congestion_behind() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(settings_with_load_in_responses(), 6, seed);
        fleet.load(0.6, 10);
        fleet.counts();
        fleet.load(2.4, 6);
        let (in_time, late, rejected) = fleet.counts();
        assert!(
            rejected > 0 && in_time > 2 * late,
            "the burst: {in_time} {late} {rejected}"
        );
        fleet.load(0.6, 2);
        fleet.counts();
        fleet.load(0.6, 5);
        let (in_time, late, rejected) = fleet.counts();
        assert!(
            in_time > 20 * (late + rejected),
            "after it: {in_time} {late} {rejected}"
        );
    }
}

#[test]
fn fleet_with_capacity_rejects_hardly_anything() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(settings_with_load_in_responses(), 6, seed);
        fleet.load(0.7, 15);
        let (in_time, late, rejected) = fleet.counts();
        assert!(
            rejected * 100 < in_time && late * 50 < in_time,
            "{in_time} {late} {rejected}"
        );
    }
}

fn settings_with_long_slow_start() -> Settings {
    let base = settings_with_load_in_responses();
    Settings {
        slow_start: SlowStartSettings {
            initial_capacity: 0.2,
            duration: 16_000 * MS,
            ..base.slow_start
        },
        ..base
    }
}

/// All servers restart at once under full load, and now and then a request is as large as all that
/// one of them may get in the overload window.
#[test]
fn fleet_wholly_in_slow_start_is_not_overloaded() {
    for seed in 0..6 {
        let settings = settings_with_long_slow_start();
        let slow_start = settings.slow_start;
        let mut fleet = Fleet::new(settings, 6, seed);
        fleet.load(0.8, 10);
        let started_at = fleet.driver.now;
        for n in 0..fleet.servers.len() as u32 {
            fleet.driver.handle(endpoint_changed(Endpoint {
                incarnation: Some(started_at),
                ..endpoint(n)
            }));
        }
        let slow_start_factor =
            |at: Micros| 0.2 + 0.8 * (at - started_at) as f64 / (16_000 * MS) as f64;
        fleet.sends.clear();
        for _ in 0..8 {
            let speed = slow_start_factor(fleet.driver.now);
            for server_model in &mut fleet.servers {
                server_model.speed = speed;
            }
            fleet.arrive(1_450.0);
            fleet.load(0.3, 1);
        }
        for (at, server, _) in &fleet.sends {
            let within = |send: &&(Micros, ServerId, f64)| {
                send.1 == *server && (*at..at + slow_start.overload_window).contains(&send.0)
            };
            let sent: f64 = fleet.sends.iter().filter(within).map(|send| send.2).sum();
            let max_work = slow_start.overload_factor
                * 2.0
                * slow_start_factor(*at)
                * slow_start.overload_window as f64
                / 1_000.0;
            assert!(
                sent <= max_work,
                "seed {seed}, {} ms after the start: {sent} of {max_work} ms",
                (at - started_at) / MS
            );
        }
    }
}

/// A quarter of the requests is hinted far too low and a quarter far too high, or not at all.
#[test]
fn wrong_or_missing_work_hints_cause_no_congestion() {
    for wrong in [Some(1), Some(60_000_000), None] {
        let mut fleet = Fleet::new(settings_with_load_in_responses(), 6, 3);
        let mut rng = fastrand::Rng::with_seed(9);
        for _ in 0..15 * 200 {
            // Six servers of two cores do 60 ms of work in 5 ms; a request takes 40.
            if rng.f64() < 0.6 * 60.0 / 40.0 {
                let hint = if rng.f64() < 0.25 {
                    wrong
                } else {
                    Some(40_000)
                };
                fleet.arrive_with_hint(40.0, hint);
            }
            fleet.step();
        }
        let (in_time, late, rejected) = fleet.counts();
        assert!(
            in_time > 2 * (late + rejected),
            "{wrong:?}: {in_time} {late} {rejected}"
        );
    }
}
