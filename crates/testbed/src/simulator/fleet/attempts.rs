//! An attempt's way to its server: sent, received, accepted or rejected. Its connection is
//! `connecting`'s.

use std::collections::VecDeque;

use arrowstand_balancer::{Event as BalancerEvent, Outcome};

use super::{Reachability, Server};
use crate::event_log::LogEvent;
use crate::index::ServerIndex;
use crate::scenario::{Micros, from_ms};
use crate::server_model::{Event as ServerModelEvent, Job};
use crate::simulator::Simulator;
use crate::simulator::event::SimulatorEvent;
use crate::simulator::request::{Attempt, AttemptKey, Request, RequestKey};

impl Simulator<'_> {
    /// Sends an attempt of a request; `timeout` is cut to the time that the request has left.
    pub(in crate::simulator) fn send_attempt(
        &mut self,
        request_key: RequestKey,
        server: ServerIndex,
        timeout: Option<Micros>,
        events: &mut VecDeque<BalancerEvent>,
    ) {
        let request = self.open.requests.get(request_key);
        let Some(request) = request.filter(|request| !request.responded) else {
            return;
        };
        let class = request.class;
        let scenario = self.context.scenario();
        let now = self.context.now();
        let mut attempt = new_attempt(request_key, request, server, timeout, now);
        let sidecar = attempt.sidecar;
        attempt.job = self.open.take_job();
        let is_known = self.servers.get(server.index()).is_some();
        if is_known {
            let zone = self.servers[server.index()].zone;
            attempt.delay = self.network.draw_delay(sidecar, zone, scenario);
        }
        attempt.work = self
            .network
            .draw_attempt_work(sidecar, class, attempt.work, scenario);
        if is_known {
            attempt.connection = self.reuse_connection(sidecar, server);
        }
        attempt.new_connection = attempt.connection.is_none();
        attempt.written = !attempt.new_connection;
        let key = self.open.attempts.insert(attempt);
        if let Some(request) = self.open.requests.get_mut(request_key) {
            request.attempts.push(key);
        }
        if is_known {
            self.schedule_attempt(key);
        } else {
            self.end_attempt(key, Outcome::NotSent, events);
        }
    }

    fn schedule_attempt(&mut self, key: AttemptKey) {
        let Some(attempt) = self.open.attempts.get(key) else {
            return;
        };
        let (delay, due) = (attempt.delay, attempt.due);
        if attempt.new_connection {
            let connect_timeout = from_ms(self.context.scenario().permissions.connect_timeout_ms);
            let connect_due = self.context.now() + connect_timeout;
            let context = &mut self.context;
            context.after(delay, SimulatorEvent::ConnectAtServer(key));
            context.at(due.min(connect_due), SimulatorEvent::AttemptTimeout(key));
        } else {
            self.on_attempt_written(key);
            let context = &mut self.context;
            context.after(delay, SimulatorEvent::AttemptAtServer(key));
            context.at(due, SimulatorEvent::AttemptTimeout(key));
        }
    }

    /// An attempt's last byte is at the server.
    pub(in crate::simulator) fn on_attempt_at_server(&mut self, key: AttemptKey) {
        let Some(attempt) = self.open.attempts.get(key) else {
            return;
        };
        // Its connection was closed before all of it had arrived.
        if attempt.ended && attempt.new_connection {
            self.open.attempts.remove(key);
            return;
        }
        let server = &mut self.servers[attempt.server.index()];
        let open_start = server.open_start();
        if server.reachability == Reachability::Silent {
            server.blackholed.push(key);
        } else if open_start.is_none() || attempt.connection.is_some_and(|c| c != server.start) {
            let reset = SimulatorEvent::ResultAtSidecar(key, Outcome::Reset);
            self.context.after(attempt.delay, reset);
        } else {
            self.deliver_attempt(key);
        }
    }

    /// Hands an attempt to the server, which accepts or rejects it.
    fn deliver_attempt(&mut self, key: AttemptKey) {
        let now = self.context.now();
        let Some(attempt) = self.open.attempts.get_mut(key) else {
            return;
        };
        let server_index = attempt.server;
        let server = &mut self.servers[server_index.index()];
        let (capacity, cold) = (server.model.capacity(now), server.model.is_cold(now));
        attempt.reset_pending = self.server_random.chance(server.reset_share);
        if attempt.new_connection {
            server.model.handshake(now, &mut self.server_events);
        }
        let accepted = server.try_accept(now, key, attempt, &mut self.server_events);
        let (request, delay) = (attempt.request_number, attempt.delay);
        let received = LogEvent::AttemptReceived {
            request,
            server: server_index,
            work: attempt.work,
            capacity,
            cold,
        };
        if attempt.new_connection {
            self.context.record(LogEvent::ConnectionOpened {
                server: server_index,
            });
        }
        self.context.record(received);
        if !accepted {
            self.context.record(LogEvent::AttemptRejected {
                request,
                server: server_index,
            });
            let result = SimulatorEvent::ResultAtSidecar(key, Outcome::Rejected);
            self.context.after(delay, result);
        }
        self.apply_server_events(server_index);
    }
}

impl Server {
    /// Accepts an attempt's job; false where the server drains, or its model rejects the job.
    fn try_accept(
        &mut self,
        now: Micros,
        key: AttemptKey,
        attempt: &Attempt,
        events: &mut Vec<ServerModelEvent>,
    ) -> bool {
        let job = Job {
            id: attempt.job,
            work: attempt.work,
            deadline: attempt.due,
        };
        let accepted = !self.draining && self.model.try_accept(now, job, events);
        if accepted {
            self.jobs.insert(job.id, key);
        }
        accepted
    }
}

/// An attempt before its delay, its work and its connection are known.
fn new_attempt(
    key: RequestKey,
    request: &Request,
    server: ServerIndex,
    timeout: Option<Micros>,
    now: Micros,
) -> Attempt {
    let time_left = request.due.saturating_sub(now);
    Attempt {
        request: key,
        request_number: request.number,
        index: request.attempts.len() as u32,
        sidecar: request.process.sidecar,
        server,
        job: 0,
        sent_at: now,
        due: now + timeout.map_or(time_left, |timeout| timeout.min(time_left)),
        work: request.work,
        delay: 0,
        connection: None,
        new_connection: true,
        written: false,
        ended: false,
        reset_pending: false,
        reported_in_flight: None,
    }
}
