//! Handles health checks, to which an emulated server responds with a load report.
//!
//! The model provides the figures of the report; the platform's `ServerLoad` formats it.

use std::time::Duration;

use arrowstand_platform::ServerLoad;

use super::EmulatedServer;
use super::connection::{IncomingRequest, Reply};
use crate::conversion::f64_from_count;
use crate::emulator::clock::sleep_for;
use crate::emulator::http::format_response;
use crate::emulator::lock::lock;
use crate::event_log::LogEvent;

/// Time between two checks whether a paused process has resumed.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl EmulatedServer {
    pub(super) async fn on_health_check(&self, incoming: &IncomingRequest) -> Reply {
        self.shared.record(LogEvent::HealthChecked {
            sidecar: incoming.sidecar,
            server: incoming.server,
        });
        sleep_for(incoming.one_way_delay).await;
        // A paused process responds once it is resumed.
        while lock(&self.process).is_paused() {
            tokio::time::sleep(PAUSE_POLL_INTERVAL).await;
        }
        if self.is_silent() {
            self.shared.on_health_check_blackholed();
            return Reply::NoResponse;
        }
        let report = self.update_process(|process, now| process.answer_health_check(now));
        sleep_for(incoming.one_way_delay).await;
        Reply::Send(match report {
            Some(load) => {
                let body = ServerLoad {
                    in_flight: f64_from_count(load.in_flight),
                    error_rate: Some(load.errors_per_s),
                    queued: Some(f64_from_count(load.queued)),
                };
                format_response("200 OK", "", &body.to_string())
            }
            None => format_response("503 Service Unavailable", "", ""),
        })
    }
}
