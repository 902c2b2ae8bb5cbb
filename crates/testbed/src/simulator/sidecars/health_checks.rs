//! A health check at its sidecar: sent, and answered or given up.

use arrowstand_balancer::{Event as BalancerEvent, LoadReport, ServerId};

use crate::event_log::LogEvent;
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::Micros;
use crate::simulator::Simulator;
use crate::simulator::event::{HealthCheck, HealthCheckResult, SimulatorEvent};

/// One-way delays until a health check on a new connection has arrived.
const DELAYS_OF_NEW_CONNECTION: Micros = 3;

impl Simulator<'_> {
    pub(super) fn send_health_check(&mut self, sidecar: SidecarIndex, server: ServerIndex) {
        self.context
            .record(LogEvent::HealthChecked { sidecar, server });
        let process = self.process(sidecar);
        let zone = self.fleet.zone(server);
        let scenario = self.context.scenario();
        let delay = self.network.draw_delay(sidecar, zone, scenario);
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
        let sidecar = check.process.sidecar;
        let is_running = self.is_running(check.process);
        let kept =
            self.fleet
                .on_health_check(check, is_running, &mut self.attempts, &mut self.context);
        if let Some(server_start) = kept {
            let idle_since = self.context.now() + Micros::from(check.delay);
            self.keep_connection(sidecar, check.server, idle_since, server_start);
        }
    }

    pub(in crate::simulator) fn on_health_check_result(&mut self, result: &HealthCheckResult) {
        if !self.is_current(result.process) {
            return;
        }
        let load_report = result.load.map(|load| LoadReport {
            in_flight: f64::from(load.in_flight),
            queued: f64::from(load.queued),
        });
        let ended = BalancerEvent::HealthCheckEnded {
            server: ServerId(result.server.value()),
            outcome: result.outcome,
            load_report,
        };
        self.handle_balancer_event(result.process.sidecar, ended);
    }
}
