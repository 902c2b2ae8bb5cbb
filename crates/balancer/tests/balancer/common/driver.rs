//! Drives one balancer by hand-written events. It is no simulator: nothing responds by itself.

use crate::common::actions::sent_to;
use crate::common::fixtures::{MS, TICK_TOKEN, endpoint};
use arrowstand_balancer::{
    Action, AttemptEnd, Balancer, ClassId, Event, IncomingRequest, LoadReport, Micros, Outcome,
    RequestId, ServerId, Settings, UpdateKind,
};

/// A balancer and the time at it.
pub(crate) struct Driver {
    balancer: Balancer,
    pub(crate) now: Micros,
    next_request: u64,
}

impl Driver {
    /// A balancer that has a list of so many warm servers.
    pub(crate) fn new(settings: Settings, servers: u32) -> Self {
        Self::seeded(settings, servers, 1)
    }

    /// The same with a seed of its own.
    pub(crate) fn seeded(settings: Settings, servers: u32, seed: u64) -> Self {
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

    /// Passes an event and returns the actions.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Fires the timer that ticks.
    pub(crate) fn tick(&mut self) -> Vec<Action> {
        self.handle(Event::TimerFired { token: TICK_TOKEN })
    }

    /// Ticks for a while and returns all actions.
    pub(crate) fn advance(&mut self, span: Micros) -> Vec<Action> {
        let mut all = Vec::new();
        for _ in 0..span / (25 * MS) {
            self.now += 25 * MS;
            all.extend(self.tick());
        }
        all
    }

    /// A request of a class arrives.
    pub(crate) fn request(&mut self, class: u16) -> (RequestId, Vec<Action>) {
        self.request_with_hint(class, None)
    }

    /// The same with a hint of its work.
    pub(crate) fn request_with_hint(
        &mut self,
        class: u16,
        work_hint: Option<Micros>,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let call = IncomingRequest {
            id,
            class: ClassId(class),
            time_left: 600 * MS,
            work_hint,
        };
        (id, self.handle(Event::RequestArrived(call)))
    }

    /// Ends an attempt; the request is finished where it was served.
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

    /// Sends a request and has it served after a while.
    pub(crate) fn serve(&mut self, class: u16) -> ServerId {
        let (id, actions) = self.request(class);
        let server = sent_to(&actions).expect("sent");
        self.now += 20 * MS;
        self.end_attempt(id, 0, server, Outcome::Served);
        server
    }

    /// Ends a health check well, with a load report.
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

    /// The servers that get first sends now.
    pub(crate) fn servers_in_use(&mut self) -> Vec<u32> {
        self.servers_in_use_over(0)
    }

    /// The same for a quiet balancer, which gets a request every second.
    pub(crate) fn servers_in_use_slowly(&mut self) -> Vec<u32> {
        self.servers_in_use_over(1_000 * MS)
    }

    fn servers_in_use_over(&mut self, pause: Micros) -> Vec<u32> {
        let serve = |_| {
            self.now += pause;
            self.serve(0).0
        };
        let mut used: Vec<u32> = (0..60).map(serve).collect();
        used.sort_unstable();
        used.dedup();
        used
    }

    /// Fails the health check of a server and its confirmation.
    pub(crate) fn fail_health_checks(&mut self, server: ServerId) -> Vec<Action> {
        let mut all = self.end_health_check(server, Outcome::TimedOut);
        all.extend(self.advance(300 * MS));
        all.extend(self.end_health_check(server, Outcome::TimedOut));
        all
    }
}
