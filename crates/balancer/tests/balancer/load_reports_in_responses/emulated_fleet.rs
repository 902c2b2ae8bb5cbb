//! A fleet of emulated servers with one balancer. Servers execute all their requests concurrently.

use std::collections::BTreeMap;

use crate::common::{Driver, MS, has_rejection, sent_to};
use arrowstand_balancer::{
    AttemptEnd, Event, LoadReport, Micros, Outcome, RequestId, ServerId, Settings,
};

/// A server with two cores that executes all its requests concurrently.
pub(super) struct EmulatedServer {
    /// Requests in flight, with the remaining work of each in milliseconds.
    pub(super) in_flight: Vec<(RequestId, f64)>,
    /// Speed relative to a warm server.
    pub(super) speed: f64,
}

impl EmulatedServer {
    /// Executes requests for the given time and returns those that are done.
    fn execute(&mut self, duration_ms: f64) -> Vec<RequestId> {
        let work_per_request =
            self.speed * duration_ms * (2.0 / self.in_flight.len().max(1) as f64).min(1.0);
        self.in_flight
            .iter_mut()
            .for_each(|(_, remaining)| *remaining -= work_per_request);
        let done = self
            .in_flight
            .iter()
            .filter(|(_, remaining)| *remaining <= 0.0)
            .map(|(id, _)| *id)
            .collect();
        self.in_flight.retain(|(_, remaining)| *remaining > 0.0);
        done
    }
}

/// A balancer with emulated servers, and the results of the requests.
pub(super) struct Fleet {
    pub(super) driver: Driver,
    pub(super) servers: Vec<EmulatedServer>,
    /// Requests in flight, with the time at which each was sent and its server.
    started: BTreeMap<RequestId, (Micros, ServerId)>,
    /// Sent requests: time, server and work in milliseconds.
    pub(super) sends: Vec<(Micros, ServerId, f64)>,
    in_time: u32,
    late: u32,
    rejected: u32,
}

impl Fleet {
    /// Creates a fleet of the given number of warm, idle servers.
    pub(super) fn new(settings: Settings, servers: u32, seed: u64) -> Self {
        let driver = Driver::with_seed(settings, servers, seed);
        let servers = (0..servers)
            .map(|_| EmulatedServer {
                in_flight: Vec::new(),
                speed: 1.0,
            })
            .collect();
        Self {
            driver,
            servers,
            started: BTreeMap::default(),
            sends: Vec::new(),
            in_time: 0,
            late: 0,
            rejected: 0,
        }
    }

    /// Passes the arrival of a request with the given work, and a correct work hint.
    pub(super) fn arrive(&mut self, work_ms: f64) {
        self.arrive_with_work_hint(work_ms, Some((work_ms * 1_000.0) as Micros));
    }

    /// Passes the arrival of a request with the given work and work hint.
    pub(super) fn arrive_with_work_hint(&mut self, work_ms: f64, work_hint: Option<Micros>) {
        let (id, actions) = self.driver.request_with_work_hint(0, work_hint);
        self.rejected += u32::from(has_rejection(&actions));
        if let Some(server) = sent_to(&actions) {
            self.started.insert(id, (self.driver.now, server));
            self.sends.push((self.driver.now, server, work_ms));
            self.servers[server.0 as usize]
                .in_flight
                .push((id, work_ms));
        }
    }

    /// Advances the time by 5 ms, and ends the attempts that are done or overdue.
    pub(super) fn step(&mut self) {
        self.driver.now += 5 * MS;
        let now = self.driver.now;
        if now % (25 * MS) == 0 {
            self.driver.tick();
        }
        for (n, emulated_server) in self.servers.iter_mut().enumerate() {
            let in_flight = emulated_server.in_flight.len() as f64;
            for request in emulated_server.execute(5.0) {
                let (sent_at, server) = self
                    .started
                    .remove(&request)
                    .expect("the request is in flight");
                let elapsed = now - sent_at;
                let end = AttemptEnd {
                    request,
                    attempt: 0,
                    server,
                    outcome: Outcome::Served,
                    request_finished: true,
                    elapsed,
                    load_report: Some(LoadReport {
                        in_flight,
                        queued: 0.0,
                    }),
                };
                assert_eq!(n as u32, server.0);
                self.driver.handle(Event::AttemptEnded(end));
                if elapsed <= 250 * MS {
                    self.in_time += 1;
                } else {
                    self.late += 1;
                }
            }
        }
        self.time_out_requests();
    }

    /// Ends the attempts of the requests whose deadline of 600 ms has passed.
    fn time_out_requests(&mut self) {
        let now = self.driver.now;
        let is_overdue = |sent_at: Micros| sent_at + 600 * MS <= now;
        let overdue = self
            .started
            .iter()
            .filter(|(_, (sent_at, _))| is_overdue(*sent_at));
        let overdue: Vec<(RequestId, ServerId)> =
            overdue.map(|(id, (_, server))| (*id, *server)).collect();
        for (request, server) in overdue {
            self.started.remove(&request);
            self.servers[server.0 as usize]
                .in_flight
                .retain(|(id, _)| *id != request);
            self.late += 1;
            self.driver
                .end_attempt(request, 0, server, Outcome::TimedOut);
        }
    }

    /// Passes requests of 10 to 70 ms of work for the given time. Their rate of work is the given
    /// fraction of the capacity of warm servers.
    pub(super) fn load(&mut self, capacity_fraction: f64, seconds: u32) {
        let work_per_step = capacity_fraction * 2.0 * 5.0 * self.servers.len() as f64;
        let (mut due_work, mut rng) = (0.0, fastrand::Rng::with_seed(5));
        for _ in 0..seconds * 200 {
            due_work += work_per_step;
            while due_work > 0.0 {
                let work = 10.0 + 60.0 * rng.f64();
                due_work -= work;
                self.arrive(work);
            }
            self.step();
        }
    }

    /// Returns the numbers of requests answered in time, late and rejected, and resets them.
    pub(super) fn take_counts(&mut self) -> (u32, u32, u32) {
        let counts = (self.in_time, self.late, self.rejected);
        (self.in_time, self.late, self.rejected) = (0, 0, 0);
        counts
    }
}
