//! Handles a health check at its server.

use arrowstand_balancer::Outcome;

use super::Fleet;
use crate::event_log::LogEvent;
use crate::scenario::from_ms;
use crate::server_model::LoadReport;
use crate::simulator::attempts::Attempts;
use crate::simulator::context::Context;
use crate::simulator::event::{HealthCheck, HealthCheckResult, SimulatorEvent};

impl Fleet {
    /// Handles a health check at its server. `process_is_running` tells whether the sidecar process
    /// that sent it still runs. If it does and the server answers, the connection is kept, and the
    /// start number that it belongs to is returned; otherwise the connection is closed.
    pub(in crate::simulator) fn on_health_check(
        &mut self,
        check: &HealthCheck,
        process_is_running: bool,
        attempts: &mut Attempts,
        context: &mut Context<'_>,
    ) -> Option<u32> {
        let delay = check.delay;
        let server = self.server_mut(check.server);
        if server.fails_to_connect_health_check(check) {
            let refused = result(check, Outcome::ConnectFailed, None);
            context.schedule_after(delay, refused);
            return None;
        }
        if !server.answers_health_checks() {
            server.on_unanswered_health_check();
            let timeout = from_ms(context.scenario().permissions.health_check_timeout_ms);
            let timed_out = result(check, Outcome::TimedOut, None);
            context.schedule_after(timeout.saturating_sub(2 * delay), timed_out);
            return None;
        }
        let start_number = self.answer_health_check(check, context);
        if !process_is_running {
            self.close_connection(check.server, start_number);
        }
        self.apply_model_events(check.server, attempts, context);
        process_is_running.then_some(start_number)
    }

    /// Answers a health check; returns the start number that its connection belongs to.
    fn answer_health_check(&mut self, check: &HealthCheck, context: &mut Context<'_>) -> u32 {
        let now = context.now();
        let server = &mut self.servers[check.server.index()];
        if check.new_connection {
            server.model.on_handshake(now, &mut self.model_events);
        }
        let start_number = server.start_number();
        let report = server
            .model
            .answer_health_check(now, &mut self.model_events);
        let outcome = if report.is_some() {
            Outcome::Served
        } else {
            Outcome::Rejected
        };
        let response = result(check, outcome, report);
        context.schedule_after(check.delay, response);
        if check.new_connection {
            context.record(LogEvent::ConnectionOpened {
                server: check.server,
            });
        }
        start_number
    }
}

fn result(check: &HealthCheck, outcome: Outcome, load: Option<LoadReport>) -> SimulatorEvent {
    SimulatorEvent::HealthCheckResult(HealthCheckResult {
        process: check.process,
        server: check.server,
        outcome,
        load,
    })
}
