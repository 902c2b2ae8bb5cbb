//! Servers that execute all their requests at once, before one balancer.

use std::collections::BTreeMap;

use crate::common::{Driver, MS, has_rejection, sent_to};
use arrowstand_balancer::{
    AttemptEnd, Event, LoadReport, Micros, Outcome, RequestId, ServerId, Settings,
};

/// A server that executes all its requests at once, on two cores.
pub(super) struct EmulatedServer {
    /// Requests in flight and the milliseconds of work left of each.
    pub(super) left: Vec<(RequestId, f64)>,
    pub(super) speed: f64,
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
pub(super) struct Fleet {
    pub(super) driver: Driver,
    pub(super) servers: Vec<EmulatedServer>,
    started: BTreeMap<RequestId, (Micros, ServerId)>,
    /// When, to which server and how many milliseconds of work were sent.
    pub(super) sends: Vec<(Micros, ServerId, f64)>,
    in_time: u32,
    late: u32,
    rejected: u32,
}

impl Fleet {
    pub(super) fn new(settings: Settings, servers: u32, seed: u64) -> Self {
        let driver = Driver::with_seed(settings, servers, seed);
        let servers = (0..servers)
            .map(|_| EmulatedServer {
                left: Vec::new(),
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

    /// A request of so many milliseconds of work arrives, with a hint of it.
    pub(super) fn arrive(&mut self, work_ms: f64) {
        self.arrive_with_hint(work_ms, Some((work_ms * 1_000.0) as Micros));
    }

    pub(super) fn arrive_with_hint(&mut self, work_ms: f64, hint: Option<Micros>) {
        let (id, actions) = self.driver.request_with_work_hint(0, hint);
        self.rejected += u32::from(has_rejection(&actions));
        if let Some(server) = sent_to(&actions) {
            self.started.insert(id, (self.driver.now, server));
            self.sends.push((self.driver.now, server, work_ms));
            self.servers[server.0 as usize].left.push((id, work_ms));
        }
    }

    /// Five milliseconds pass.
    pub(super) fn step(&mut self) {
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
    pub(super) fn load(&mut self, share: f64, seconds: u32) {
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
    pub(super) fn counts(&mut self) -> (u32, u32, u32) {
        let counts = (self.in_time, self.late, self.rejected);
        (self.in_time, self.late, self.rejected) = (0, 0, 0);
        counts
    }
}
