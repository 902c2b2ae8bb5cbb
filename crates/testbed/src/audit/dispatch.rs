//! Passes each event of the log to the parts of the auditor that need it.

use super::Auditor;
use super::cold_server::ReceivedWork;
use super::requests::AcceptedRequest;
use crate::event_log::{EventSink, LogEvent, LogRecord};
use crate::scenario::Micros;

impl EventSink for Auditor {
    fn record(&mut self, record: &LogRecord) {
        let at = record.at;
        self.advance(at);
        match record.event {
            LogEvent::RequestAccepted {
                request,
                sidecar,
                class,
                due,
                ..
            } => self.on_request_accepted(request, AcceptedRequest::new(at, sidecar, class, due)),
            LogEvent::ResponseReceived { request, outcome } => {
                self.on_response(at, request, outcome);
            }
            LogEvent::ClientDisconnected { request } => {
                self.requests.on_client_disconnected(request);
            }
            other => self.on_attempt_event(at, other),
        }
    }
}

impl Auditor {
    fn on_attempt_event(&mut self, at: Micros, event: LogEvent) {
        match event {
            LogEvent::AttemptStarted {
                request,
                sidecar,
                server,
                ..
            } => self.on_attempt_started(at, request, sidecar, server),
            LogEvent::AttemptReceived {
                request,
                server,
                work,
                capacity,
                cold,
            } => {
                self.on_attempt_received(at, request, server);
                let received = ReceivedWork {
                    at,
                    work,
                    capacity,
                    cold,
                };
                self.on_work_received(request, server, received);
            }
            LogEvent::AttemptRejected { request, server } => {
                self.requests.on_attempt_rejected(request, server);
            }
            other => self.on_state_change(at, other),
        }
    }

    fn on_state_change(&mut self, at: Micros, event: LogEvent) {
        match event {
            LogEvent::EndpointListed {
                sidecar,
                server,
                status,
                incarnation,
            } => self
                .endpoint_views
                .on_endpoint_listed(at, sidecar, server, status, incarnation),
            LogEvent::SidecarStateChanged { sidecar, state } => {
                self.endpoint_views.on_sidecar_state(sidecar, state);
                self.requests.on_sidecar_state(at, sidecar, state);
            }
            LogEvent::ServerStateChanged {
                server,
                zone,
                state,
            } => self.servers.on_server_state(at, server, zone, state),
            _ => {}
        }
    }
}
