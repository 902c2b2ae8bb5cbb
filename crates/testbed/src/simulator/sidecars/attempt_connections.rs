//! The sidecar's side of an attempt's connection: opening, writing and closing it.

use super::components::Components;
use super::sidecar::Sidecar;
use crate::conversion::scaled_micros;
use crate::event_log::LogEvent;
use crate::scenario::from_ms;
use crate::simulator::attempts::AttemptKey;
use crate::simulator::event::{Cancellation, SimulatorEvent};

impl Sidecar {
    /// Handles the opening of an attempt's connection: writes the request to it.
    pub(in crate::simulator) fn on_connection_open(
        &mut self,
        key: AttemptKey,
        components: &mut Components<'_, '_>,
    ) {
        let Some(attempt) = components.attempts.get(key) else {
            return;
        };
        if attempt.has_ended() {
            components.attempts.remove(key);
            return;
        }
        let deadline = attempt.details.deadline;
        let delay = attempt.details.delay;
        let machine_type = components.fleet.machine_type(attempt.details.server);
        let extra_round_trips = (machine_type.handshake_rtts - 1.0).max(0.0);
        let handshake = scaled_micros(delay, extra_round_trips * 2.0);
        write_request(key, components);
        let timeout = SimulatorEvent::AttemptTimeout(self.index, key);
        components.context.schedule_at(deadline, timeout);
        let arrival = SimulatorEvent::AttemptAtServer(key);
        components
            .context
            .schedule_after(delay + handshake, arrival);
    }
}

/// Schedules the first events of an attempt: the opening of its connection, or its arrival at the
/// server on a reused connection, and its timeout.
pub(super) fn schedule_attempt(key: AttemptKey, components: &mut Components<'_, '_>) {
    let Some(attempt) = components.attempts.get(key) else {
        return;
    };
    let delay = attempt.details.delay;
    let deadline = attempt.details.deadline;
    let timeout = SimulatorEvent::AttemptTimeout(attempt.details.sidecar, key);
    if attempt.opens_connection() {
        let context = &mut *components.context;
        let connect_timeout = from_ms(context.scenario().permissions.connect_timeout_ms);
        let connect_deadline = context.now() + connect_timeout;
        context.schedule_after(delay, SimulatorEvent::ConnectAtServer(key));
        context.schedule_at(deadline.min(connect_deadline), timeout);
    } else {
        write_request(key, components);
        let context = &mut *components.context;
        context.schedule_after(delay, SimulatorEvent::AttemptAtServer(key));
        context.schedule_at(deadline, timeout);
    }
}

/// Writes an attempt's request to its connection and records the start of the attempt.
fn write_request(key: AttemptKey, components: &mut Components<'_, '_>) {
    let Some(attempt) = components.attempts.get_mut(key) else {
        return;
    };
    attempt.on_written();
    let details = &attempt.details;
    let started = LogEvent::AttemptStarted {
        request: details.request,
        sidecar: details.sidecar,
        server: details.server,
        cross_zone: components
            .network
            .is_cross_zone(details.sidecar, components.fleet.zone(details.server)),
    };
    components.context.record(started);
}

/// Closes an attempt's connection. If the request was written, the server detects it after the
/// one-way delay.
pub(super) fn close_connection(key: AttemptKey, components: &mut Components<'_, '_>) {
    let Some(attempt) = components.attempts.get_mut(key) else {
        return;
    };
    let Some(server_start_number) = attempt.take_connection() else {
        return;
    };
    let server = attempt.details.server;
    components
        .fleet
        .close_connection(server, server_start_number);
    if attempt.is_written() {
        let cancellation = SimulatorEvent::CancellationAtServer(Cancellation {
            server,
            server_start_number,
            job: attempt.job(),
        });
        components
            .context
            .schedule_after(attempt.details.delay, cancellation);
    }
}
