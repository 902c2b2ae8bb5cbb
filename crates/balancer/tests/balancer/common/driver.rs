//! Test driver for one balancer. It does not simulate servers: each test passes the events itself.

use crate::common::actions::sent_to;
use crate::common::fixtures::{MS, TICK_TIMER_TOKEN, endpoint};
use arrowstand_balancer::{
    Action, AttemptEnd, Balancer, ClassId, Event, IncomingRequest, LoadReport, Micros, Outcome,
    RequestId, ServerId, Settings, UpdateKind,
};

/// A balancer and its current time.
pub(crate) struct Driver {
    balancer: Balancer,
    pub(crate) now: Micros,
    next_request: u64,
}

impl Driver {
    /// Creates a balancer with seed 1 and an endpoint list of the given number of warm servers.
    pub(crate) fn new(settings: Settings, servers: u32) -> Self {
        Self::with_seed(settings, servers, 1)
    }

    /// Like [`new`](Self::new), with the given seed.
    pub(crate) fn with_seed(settings: Settings, servers: u32, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed).expect("valid settings");
        let mut driver = Self {
            balancer,
            now: 1_000_000 * MS,
            next_request: 1,
        };
        let endpoints = (0..servers).map(endpoint).collect();
        driver.handle(Event::EndpointsUpdated {
            kind: UpdateKind::Full,
            version: 1,
            endpoints,
        });
        driver
    }

    /// Passes an event to the balancer and returns the actions.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Fires the timer of the periodic tick.
    pub(crate) fn tick(&mut self) -> Vec<Action> {
        self.handle(Event::TimerFired {
            token: TICK_TIMER_TOKEN,
        })
    }

    /// Advances the time in tick intervals of 25 ms and returns the actions of all ticks.
    pub(crate) fn advance(&mut self, duration: Micros) -> Vec<Action> {
        let mut all = Vec::new();
        for _ in 0..duration / (25 * MS) {
            self.now += 25 * MS;
            all.extend(self.tick());
        }
        all
    }

    /// Passes the arrival of a request of a class, without a work hint.
    pub(crate) fn request(&mut self, class: u16) -> (RequestId, Vec<Action>) {
        self.request_with_work_hint(class, None)
    }

    /// Passes the arrival of a request of a class, with a work hint if one is given.
    pub(crate) fn request_with_work_hint(
        &mut self,
        class: u16,
        work_hint: Option<Micros>,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let incoming = IncomingRequest {
            id,
            class: ClassId(class),
            time_left: 600 * MS,
            work_hint,
        };
        (id, self.handle(Event::RequestArrived(incoming)))
    }

    /// Ends an attempt with an elapsed time of 10 ms. Its request is finished if the outcome is
    /// `Served`.
    pub(crate) fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let request_finished = outcome == Outcome::Served;
        self.handle(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            request_finished,
            elapsed: 10 * MS,
            load_report: None,
        }))
    }

    /// Passes the arrival of a request, ends its attempt as served 20 ms later and returns the
    /// server.
    pub(crate) fn serve(&mut self, class: u16) -> ServerId {
        let (id, actions) = self.request(class);
        let server = sent_to(&actions).expect("the request is sent");
        self.now += 20 * MS;
        self.end_attempt(id, 0, server, Outcome::Served);
        server
    }

    /// Ends a health check as successful, with a load report if one is given.
    pub(crate) fn report_load(
        &mut self,
        server: ServerId,
        load_report: Option<LoadReport>,
    ) -> Vec<Action> {
        self.handle(Event::HealthCheckEnded {
            server,
            outcome: Outcome::Served,
            load_report,
        })
    }

    /// Ends a health check without a load report.
    pub(crate) fn end_health_check(&mut self, server: ServerId, outcome: Outcome) -> Vec<Action> {
        self.handle(Event::HealthCheckEnded {
            server,
            outcome,
            load_report: None,
        })
    }

    /// Returns the servers that first attempts are sent to now, over 60 requests.
    pub(crate) fn servers_in_use(&mut self) -> Vec<u32> {
        self.servers_in_use_at_interval(0)
    }

    /// Like [`servers_in_use`](Self::servers_in_use), at a rate of about one request per second.
    pub(crate) fn servers_in_use_at_low_rate(&mut self) -> Vec<u32> {
        self.servers_in_use_at_interval(1_000 * MS)
    }

    fn servers_in_use_at_interval(&mut self, interval: Micros) -> Vec<u32> {
        let serve = |_| {
            self.now += interval;
            self.serve(0).0
        };
        let mut used: Vec<u32> = (0..60).map(serve).collect();
        used.sort_unstable();
        used.dedup();
        used
    }

    /// Fails a health check of a server and the second check that confirms it.
    pub(crate) fn fail_health_checks(&mut self, server: ServerId) -> Vec<Action> {
        let mut all = self.end_health_check(server, Outcome::TimedOut);
        all.extend(self.advance(300 * MS));
        all.extend(self.end_health_check(server, Outcome::TimedOut));
        all
    }
}
