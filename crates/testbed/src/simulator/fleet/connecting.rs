//! An attempt's connection: opened, written to, closed.

use arrowstand_balancer::Outcome;

use super::Reachability;
use crate::event_log::LogEvent;
use crate::scenario::Micros;
use crate::simulator::Simulator;
use crate::simulator::event::{Cancellation, SimulatorEvent};
use crate::simulator::request::AttemptKey;

impl Simulator<'_> {
    pub(super) fn on_attempt_written(&mut self, key: AttemptKey) {
        let Some(attempt) = self.open.attempts.get_mut(key) else {
            return;
        };
        attempt.written = true;
        let (sidecar, server) = (attempt.sidecar, attempt.server);
        let zone = self.servers[server.index()].zone;
        let started = LogEvent::AttemptStarted {
            request: attempt.request_number,
            sidecar,
            server,
            cross_zone: self.network.is_cross_zone(sidecar, zone),
        };
        self.context.record(started);
    }

    /// A new connection's first packet is at the server.
    pub(in crate::simulator) fn on_connect_at_server(&mut self, key: AttemptKey) {
        let Some(attempt) = self.open.attempts.get_mut(key) else {
            return;
        };
        let server = &mut self.servers[attempt.server.index()];
        if server.reachability == Reachability::Silent {
            return;
        }
        if attempt.ended {
            self.open.attempts.remove(key);
            return;
        }
        let accepted = server.reachability == Reachability::Open && server.model.connect();
        let answer = if accepted {
            attempt.connection = Some(server.start);
            SimulatorEvent::ConnectionOpen(key)
        } else {
            SimulatorEvent::ResultAtSidecar(key, Outcome::ConnectFailed)
        };
        self.context.after(attempt.delay, answer);
    }

    /// The sidecar knows that its connection is open, and writes the request.
    pub(in crate::simulator) fn on_connection_open(&mut self, key: AttemptKey) {
        let Some(attempt) = self.open.attempts.get(key) else {
            return;
        };
        if attempt.ended {
            self.open.attempts.remove(key);
            return;
        }
        let (due, delay) = (attempt.due, attempt.delay);
        let model = &self.servers[attempt.server.index()].model;
        let further_round_trips = (model.machine_type().handshake_rtts - 1.0).max(0.0);
        self.on_attempt_written(key);
        let context = &mut self.context;
        context.at(due, SimulatorEvent::AttemptTimeout(key));
        let handshake = (further_round_trips * 2.0 * delay as f64) as Micros;
        context.after(delay + handshake, SimulatorEvent::AttemptAtServer(key));
    }

    /// Closes an attempt's connection; the server notices what it has of it after the way there.
    pub(in crate::simulator) fn close_attempt_connection(&mut self, key: AttemptKey) {
        let Some(attempt) = self.open.attempts.get_mut(key) else {
            return;
        };
        let Some(server_start) = attempt.connection.take() else {
            return;
        };
        self.servers[attempt.server.index()].close_connection(server_start);
        if attempt.written {
            let noticed = SimulatorEvent::CancellationAtServer(Cancellation {
                server: attempt.server,
                server_start,
                job: attempt.job,
            });
            self.context.after(attempt.delay, noticed);
        }
    }
}
