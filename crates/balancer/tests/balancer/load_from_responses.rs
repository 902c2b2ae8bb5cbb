//! Deployments where responses tell of load, requests tell of their work and late responses keep some value.

use crate::common::{Driver, MS, endpoint, endpoint_changed, is_rejected, sent_to, settings};
use arrowstand_balancer::{
    AttemptEnd, Endpoint, Event, LoadReport, Micros, Outcome, RequestId, ServerId, Settings,
};

/// Nothing is asked before a send; a late answer keeps a fifth of its worth.
fn settings_with_load_in_responses() -> Settings {
    let mut base = settings();
    base.classes.iter_mut().for_each(|c| c.late_value = 0.2);
    Settings { load_reports: true, load_reports_in_responses: true, health_check_fee: 0.01, ..base }
}

/// A job server of the platform's kind: it works on all that it holds at once, on two cores.
struct EmulatedServer {
    left: Vec<(RequestId, f64)>,
    speed: f64,
}

impl EmulatedServer {
    /// Works for a time in milliseconds, and gives what is done.
    fn work(&mut self, ms: f64) -> Vec<RequestId> {
        let each = self.speed * ms * (2.0 / self.left.len().max(1) as f64).min(1.0);
        self.left.iter_mut().for_each(|(_, left)| *left -= each);
        let done = self.left.iter().filter(|(_, left)| *left <= 0.0).map(|(id, _)| *id).collect();
        self.left.retain(|(_, left)| *left > 0.0);
        done
    }
}

/// A balancer before such machines, and what became of the requests.
struct Fleet {
    driver: Driver,
    machines: Vec<EmulatedServer>,
    started: std::collections::BTreeMap<RequestId, (Micros, ServerId)>,
    /// When, to whom and how much was sent.
    sends: Vec<(Micros, ServerId, f64)>,
    in_time: u32,
    late: u32,
    refused: u32,
}

impl Fleet {
    fn new(settings: Settings, machines: u32, seed: u64) -> Self {
        let driver = Driver::seeded(settings, machines, seed);
        let machines = (0..machines).map(|_| EmulatedServer { left: Vec::new(), speed: 1.0 }).collect();
        Self {
            driver,
            machines,
            started: Default::default(),
            sends: Vec::new(),
            in_time: 0,
            late: 0,
            refused: 0,
        }
    }

    /// A request of so much work arrives, and says so.
    fn arrives(&mut self, work_ms: f64) {
        self.arrives_hinted(work_ms, Some((work_ms * 1_000.0) as Micros));
    }

    fn arrives_hinted(&mut self, work_ms: f64, hint: Option<Micros>) {
        let (id, actions) = self.driver.request_with_hint(0, hint);
        self.refused += u32::from(is_rejected(&actions));
        if let Some(server) = sent_to(&actions) {
            self.started.insert(id, (self.driver.now, server));
            self.sends.push((self.driver.now, server, work_ms));
            self.machines[server.0 as usize].left.push((id, work_ms));
        }
    }

    /// Five milliseconds pass.
    fn step(&mut self) {
        self.driver.now += 5 * MS;
        let now = self.driver.now;
        if now % (25 * MS) == 0 {
            self.driver.tick();
        }
        for (n, machine) in self.machines.iter_mut().enumerate() {
            let held = machine.left.len() as f64;
            for request in machine.work(5.0) {
                let (since, server) = self.started.remove(&request).expect("started");
                let (finished, outcome) = (true, Outcome::Served);
                let report = Some(LoadReport { in_flight: held, queued: 0.0 });
                let elapsed = now - since;
                let end = AttemptEnd {
                    request,
                    attempt: 0,
                    server,
                    outcome,
                    finished,
                    elapsed,
                    load_report: report,
                };
                assert_eq!(n as u32, server.0);
                self.driver.handle(Event::AttemptEnded(end));
                if elapsed <= 250 * MS { self.in_time += 1 } else { self.late += 1 }
            }
        }
        // The client gives up.
        let over = |since: Micros| since + 600 * MS <= now;
        let gone: Vec<_> = self.started.iter().filter(|(_, s)| over(s.0)).map(|(id, s)| (*id, *s)).collect();
        for (request, (_, server)) in gone {
            self.started.remove(&request);
            self.machines[server.0 as usize].left.retain(|(id, _)| *id != request);
            self.late += 1;
            self.driver.end_attempt(request, 0, server, Outcome::TimedOut);
        }
    }

    /// Requests of 10 to 70 ms of work come at a share of what the machines can do, for some seconds.
    fn load(&mut self, share: f64, seconds: u32) {
        let step_work = share * 2.0 * 5.0 * self.machines.len() as f64;
        let (mut owed, mut rng) = (0.0, fastrand::Rng::with_seed(5));
        for _ in 0..seconds * 200 {
            owed += step_work;
            while owed > 0.0 {
                let work = 10.0 + 60.0 * rng.f64();
                owed -= work;
                self.arrives(work);
            }
            self.step();
        }
    }

    fn counts(&mut self) -> (u32, u32, u32) {
        let counts = (self.in_time, self.late, self.refused);
        (self.in_time, self.late, self.refused) = (0, 0, 0);
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
        let (in_time, late, refused) = fleet.counts();
        assert!(refused > 0 && in_time > 2 * late, "the burst: {in_time} {late} {refused}");
        fleet.load(0.6, 2);
        fleet.counts();
        fleet.load(0.6, 5);
        let (in_time, late, refused) = fleet.counts();
        assert!(in_time > 20 * (late + refused), "after it: {in_time} {late} {refused}");
    }
}

#[test]
fn fleet_with_capacity_rejects_hardly_anything() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(settings_with_load_in_responses(), 6, seed);
        fleet.load(0.7, 15);
        let (in_time, late, refused) = fleet.counts();
        assert!(refused * 100 < in_time && late * 50 < in_time, "{in_time} {late} {refused}");
    }
}

/// All servers start anew at once, cold, in the middle of full load, and now and then a request is as large as all
/// that one of them bears in the span of the rule.
#[test]
fn fleet_wholly_in_slow_start_is_not_overloaded() {
    for seed in 0..6 {
        let settings = Settings {
            cold_capacity_share: 0.2,
            slow_start_time: 16_000 * MS,
            ..settings_with_load_in_responses()
        };
        let (multiple, span) = (settings.cold_overload_factor, settings.cold_overload_window);
        let mut fleet = Fleet::new(settings, 6, seed);
        fleet.load(0.8, 10);
        let born = fleet.driver.now;
        for n in 0..fleet.machines.len() as u32 {
            fleet.driver.handle(endpoint_changed(Endpoint { incarnation: Some(born), ..endpoint(n) }));
        }
        let warmth = |at: Micros| 0.2 + 0.8 * (at - born) as f64 / (16_000 * MS) as f64;
        fleet.sends.clear();
        for _ in 0..8 {
            let speed = warmth(fleet.driver.now);
            fleet.machines.iter_mut().for_each(|machine| machine.speed = speed);
            fleet.arrives(1_450.0);
            fleet.load(0.3, 1);
        }
        for (at, server, _) in &fleet.sends {
            let within = |s: &&(Micros, ServerId, f64)| s.1 == *server && (*at..at + span).contains(&s.0);
            let sent: f64 = fleet.sends.iter().filter(within).map(|s| s.2).sum();
            let bears = multiple * 2.0 * warmth(*at) * span as f64 / 1_000.0;
            assert!(
                sent <= bears,
                "seed {seed}, {} ms after the start: {sent} of {bears} ms",
                (at - born) / MS
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
            // Six machines of two cores do 60 ms of work in 5 ms; a request takes 40.
            if rng.f64() < 0.6 * 60.0 / 40.0 {
                let hint = if rng.f64() < 0.25 { wrong } else { Some(40_000) };
                fleet.arrives_hinted(40.0, hint);
            }
            fleet.step();
        }
        let (in_time, late, refused) = fleet.counts();
        assert!(in_time > 2 * (late + refused), "{wrong:?}: {in_time} {late} {refused}");
    }
}
