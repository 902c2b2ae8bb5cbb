//! Drives one balancer by hand-written events. It is no simulator: nothing answers by itself.
#![allow(dead_code)]

use arrowstand_balancer::*;

pub const MS: Micros = 1_000;
pub const TICK_TOKEN: u64 = 0;

pub struct Driver {
    pub balancer: Balancer,
    pub now: Micros,
    next: u64,
}

pub fn class(semantics: Idempotency) -> RequestClass {
    let scope = DeduplicationScope::Cell;
    RequestClass {
        deduplication_scope: scope,
        deduplication_window: 4_000 * MS,
        ..RequestClass::new(semantics, 250 * MS, 600 * MS)
    }
}

pub fn settings() -> Settings {
    let kinds = [Idempotency::Idempotent, Idempotency::IdempotencyKey, Idempotency::NonIdempotent];
    Settings { classes: kinds.into_iter().map(class).collect(), ..Settings::default() }
}

pub fn member(n: u32) -> Endpoint {
    Endpoint { cell: n / 2, zone: n / 4, ..Endpoint::ready(ServerId(n), u64::from(n) + 100) }
}

pub fn changed(entry: Endpoint) -> Event {
    Event::EndpointsUpdated { kind: UpdateKind::Incremental, version: u64::MAX, endpoints: vec![entry] }
}

impl Driver {
    /// A balancer that has been told of `servers` warm servers.
    pub fn new(settings: Settings, servers: u32) -> Self {
        Self::seeded(settings, servers, 1)
    }

    pub fn seeded(settings: Settings, servers: u32, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed).expect("valid settings");
        let mut driver = Self { balancer, now: 1_000_000 * MS, next: 1 };
        let entries = (0..servers).map(member).collect();
        driver.tell(Event::EndpointsUpdated { kind: UpdateKind::Full, version: 1, endpoints: entries });
        driver
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn tick(&mut self) -> Vec<Action> {
        self.tell(Event::TimerFired { token: TICK_TOKEN })
    }

    /// Ticks for a while and gathers all that is asked for.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let mut all = Vec::new();
        for _ in 0..span / (25 * MS) {
            self.now += 25 * MS;
            all.extend(self.tick());
        }
        all
    }

    pub fn request(&mut self, class: u16) -> (RequestId, Vec<Action>) {
        self.hinted(class, None)
    }

    pub fn hinted(&mut self, class: u16, size_hint: Option<Micros>) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next);
        self.next += 1;
        let call = IncomingRequest { id, class: ClassId(class), time_left: 600 * MS, work_hint: size_hint };
        (id, self.tell(Event::RequestArrived(call)))
    }

    pub fn end(
        &mut self,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Served;
        let (elapsed, report) = (10 * MS, None);
        self.tell(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            finished,
            elapsed,
            load_report: report,
        }))
    }

    /// Sends a request and has it served after a while.
    pub fn serve(&mut self, class: u16) -> ServerId {
        let (id, actions) = self.request(class);
        let server = sent(&actions).expect("sent");
        self.now += 20 * MS;
        self.end(id, 0, server, Outcome::Served);
        server
    }

    pub fn probed(&mut self, server: ServerId, outcome: Outcome) -> Vec<Action> {
        self.tell(Event::HealthCheckEnded { server, outcome, load_report: None })
    }

    /// The servers that get first sends now.
    pub fn in_use(&mut self) -> Vec<u32> {
        self.in_use_over(0)
    }

    /// The same for a quiet balancer, which gets a request every second.
    pub fn in_use_slowly(&mut self) -> Vec<u32> {
        self.in_use_over(1_000 * MS)
    }

    fn in_use_over(&mut self, pause: Micros) -> Vec<u32> {
        let serve = |_| {
            self.now += pause;
            self.serve(0).0
        };
        let mut used: Vec<u32> = (0..60).map(serve).collect();
        used.sort_unstable();
        used.dedup();
        used
    }

    /// Fails the direct probe of a server and its confirmation.
    pub fn fail_probes(&mut self, server: ServerId) -> Vec<Action> {
        let mut all = self.probed(server, Outcome::TimedOut);
        all.extend(self.pass(300 * MS));
        all.extend(self.probed(server, Outcome::TimedOut));
        all
    }
}

pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

pub fn probes(actions: &[Action]) -> Vec<ServerId> {
    let probe = |a: &Action| if let Action::HealthCheck { server } = a { Some(*server) } else { None };
    actions.iter().filter_map(probe).collect()
}

pub fn messages(actions: &[Action]) -> Vec<Vec<u8>> {
    let tell =
        |a: &Action| if let Action::SendGossip { message, .. } = a { Some(message.clone()) } else { None };
    actions.iter().filter_map(tell).collect()
}

pub fn logged(actions: &[Action], what: &str) -> bool {
    actions.iter().any(|a| matches!(a, Action::Log { text, .. } if text.contains(what)))
}
