//! A health check's way to its server and back.

use arrowstand_balancer::Outcome;

use super::{Reachability, Server};
use crate::event_log::LogEvent;
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::{Micros, from_ms};
use crate::server_model::{LoadReport, State};
use crate::simulator::Simulator;
use crate::simulator::event::{HealthCheck, HealthCheckResult, ReportedLoad, SimulatorEvent};

/// One-way delays until a health check on a new connection has arrived.
const DELAYS_OF_NEW_CONNECTION: Micros = 3;

impl Simulator<'_> {
    pub(in crate::simulator) fn send_health_check(
        &mut self,
        sidecar: SidecarIndex,
        server: ServerIndex,
    ) {
        self.context
            .record(LogEvent::HealthChecked { sidecar, server });
        let process = self.process(sidecar);
        let zone = self.servers[server.index()].zone;
        let delay = self
            .network
            .draw_delay(sidecar, zone, self.context.scenario());
        let new_connection = self.reuse_connection(sidecar, server).is_none();
        let arrives_after = if new_connection {
            DELAYS_OF_NEW_CONNECTION * delay
        } else {
            delay
        };
        let check = SimulatorEvent::HealthCheckAtServer(HealthCheck {
            process,
            server,
            delay: delay as u32,
            new_connection,
        });
        self.context.after(arrives_after, check);
    }

    pub(in crate::simulator) fn on_health_check_at_server(&mut self, check: &HealthCheck) {
        let delay = Micros::from(check.delay);
        let server = &mut self.servers[check.server.index()];
        if server.refuses(check) {
            let refused = result(check, Outcome::ConnectFailed, None);
            self.context.after(delay, refused);
        } else if !server.answers_health_checks() {
            server.on_unanswered_health_check();
            let timeout = from_ms(self.context.scenario().permissions.health_check_timeout_ms);
            let timed_out = result(check, Outcome::TimedOut, None);
            self.context
                .after(timeout.saturating_sub(2 * delay), timed_out);
        } else {
            self.answer_health_check(check);
        }
    }

    fn answer_health_check(&mut self, check: &HealthCheck) {
        let (now, delay) = (self.context.now(), Micros::from(check.delay));
        let (sidecar, server_index) = (check.process.sidecar, check.server);
        let server = &mut self.servers[server_index.index()];
        if check.new_connection {
            server.model.handshake(now, &mut self.server_events);
        }
        let start = server.start;
        let report = server.model.health_check(now, &mut self.server_events);
        let outcome = if report.is_some() {
            Outcome::Served
        } else {
            Outcome::Rejected
        };
        let answer = result(check, outcome, report.map(reported_load));
        self.context.after(delay, answer);
        if check.new_connection {
            self.context.record(LogEvent::ConnectionOpened {
                server: server_index,
            });
        }
        if self.is_current(check.process) {
            self.keep_connection(sidecar, server_index, now + delay, start);
        } else {
            self.servers[server_index.index()].close_connection(start);
        }
        self.apply_server_events(server_index);
    }
}

impl Server {
    /// Whether a health check's connection is refused; one that is accepted takes a place.
    fn refuses(&mut self, check: &HealthCheck) -> bool {
        match self.reachability {
            Reachability::Refusing => true,
            Reachability::Open => check.new_connection && !self.model.connect(),
            Reachability::Silent => false,
        }
    }

    fn answers_health_checks(&self) -> bool {
        self.reachability != Reachability::Silent && self.model.state() == State::Up
    }

    /// The health check's connection is closed, where there is anybody to close it.
    fn on_unanswered_health_check(&mut self) {
        if self.reachability == Reachability::Open {
            self.model.disconnect();
        }
    }
}

fn result(check: &HealthCheck, outcome: Outcome, load: Option<ReportedLoad>) -> SimulatorEvent {
    SimulatorEvent::HealthCheckResult(HealthCheckResult {
        process: check.process,
        server: check.server,
        outcome,
        load,
    })
}

fn reported_load(report: LoadReport) -> ReportedLoad {
    ReportedLoad {
        in_flight: report.in_flight as u32,
        queued: report.queued as u32,
    }
}
