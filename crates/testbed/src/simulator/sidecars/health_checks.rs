//! The sidecar's side of health checks: sending them and reporting their results.

use arrowstand_balancer::{Event as BalancerEvent, LoadReport, ServerId};

use super::components::Components;
use super::sidecar::Sidecar;
use crate::event_log::LogEvent;
use crate::index::ServerIndex;
use crate::scenario::Micros;
use crate::simulator::event::{HealthCheck, HealthCheckResult, SimulatorEvent};

/// Number of one-way delays until a health check on a new connection reaches the server: one round
/// trip to connect, and the way of the check.
const NEW_CONNECTION_ONE_WAY_DELAYS: Micros = 3;

impl Sidecar {
    /// Sends a health check, on an idle connection if there is one.
    pub(super) fn send_health_check(
        &mut self,
        server: ServerIndex,
        components: &mut Components<'_, '_>,
    ) {
        components.context.record(LogEvent::HealthChecked {
            sidecar: self.index,
            server,
        });
        let delay = components.draw_delay(self.index, server);
        let new_connection = self.reuse_connection(server, components).is_none();
        let arrives_after = if new_connection {
            NEW_CONNECTION_ONE_WAY_DELAYS * delay
        } else {
            delay
        };
        let check = SimulatorEvent::HealthCheckAtServer(HealthCheck {
            process: self.process(),
            server,
            delay,
            new_connection,
        });
        components.context.schedule_after(arrives_after, check);
    }

    /// Reports the result of a health check to the balancer.
    pub(super) fn on_health_check_result(
        &mut self,
        result: &HealthCheckResult,
        components: &mut Components<'_, '_>,
    ) {
        let load_report = result.load.map(|load| LoadReport {
            in_flight: load.in_flight as f64,
            queued: load.queued as f64,
        });
        let ended = BalancerEvent::HealthCheckEnded {
            server: ServerId(result.server.value()),
            outcome: result.outcome,
            load_report,
        };
        self.handle_balancer_event(ended, components);
    }
}
