//! The connections of the emulated discovery service: polls and watches.
//!
//! Notifications are recorded only after the list or delta was written.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;

use super::{Availability, Discovery};
use crate::emulator::http::{HttpConnection, format_response};
use crate::event_log::LogEvent;
use crate::index::SidecarIndex;

/// Time between the empty lines that keep a watch alive while the list does not change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Prefix of the targets at which the endpoint list is served.
const ENDPOINTS_TARGET_PREFIX: &str = "/v1/endpoints";
/// Head of the response to a watch, whose body has one line per change.
const WATCH_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Event on a watch.
enum WatchEvent {
    ListChanged,
    HeartbeatDue,
    /// The sidecar has closed the connection, or the emulation ends.
    Closed,
}

impl Discovery {
    /// Serves one request on a connection, which is closed when the service goes down.
    pub(super) async fn serve(self: Arc<Self>, stream: TcpStream, sidecar: SidecarIndex) {
        let mut availability = self.availability.subscribe();
        let mut connection = HttpConnection::new(stream);
        let down = *self.availability.borrow() == Availability::Down;
        if down {
            let _ = connection.write(&unavailable_response()).await;
            return;
        }
        let service_down = async {
            while *availability.borrow_and_update() != Availability::Down {
                if availability.changed().await.is_err() {
                    return;
                }
            }
        };
        let result = tokio::select! {
            result = self.serve_request(&mut connection, sidecar) => result,
            () = service_down => Ok(()),
        };
        if let Err(error) = result {
            tracing::debug!(%sidecar, %error, "connection to emulated discovery failed");
        }
    }

    /// Waits while the service is silent.
    async fn wait_while_silent(&self) {
        let mut availability = self.availability.subscribe();
        while *availability.borrow_and_update() == Availability::Silent {
            if availability.changed().await.is_err() {
                return;
            }
        }
    }

    async fn serve_request(
        &self,
        connection: &mut HttpConnection,
        sidecar: SidecarIndex,
    ) -> io::Result<()> {
        let request = connection.read_request().await?;
        self.shared.record(LogEvent::DiscoveryPolled { sidecar });
        self.wait_while_silent().await;
        let schedule = self.schedule_poll();
        self.shared.clock.sleep_until(schedule.respond_at).await;
        if schedule.rejected || !request.target.starts_with(ENDPOINTS_TARGET_PREFIX) {
            return connection.write(&unavailable_response()).await;
        }
        if request.query_parameter("stream").is_none() {
            return self.send_full_list(connection, sidecar).await;
        }
        connection.write(WATCH_RESPONSE_HEAD).await?;
        let since = request.query_parameter("index");
        let since = since.and_then(|since| since.parse().ok()).unwrap_or(0);
        self.watch(connection, sidecar, since).await
    }

    async fn send_full_list(
        &self,
        connection: &mut HttpConnection,
        sidecar: SidecarIndex,
    ) -> io::Result<()> {
        let (list, notifications) = self.full_list(sidecar);
        let text = format_response("200 OK", "", &format!("{list}\n"));
        connection.write(&text).await?;
        self.record_notifications(sidecar, &notifications);
        Ok(())
    }

    /// Sends the delta since a revision, or the full list for revision 0, and then a delta for each
    /// change.
    async fn watch(
        &self,
        connection: &mut HttpConnection,
        sidecar: SidecarIndex,
        since: u64,
    ) -> io::Result<()> {
        let mut revisions = self.revision.subscribe();
        let mut since = Some(since).filter(|&revision| revision > 0);
        loop {
            revisions.borrow_and_update();
            self.wait_while_silent().await;
            let (list, revision, notifications) = self.list_or_delta(sidecar, since);
            since = Some(revision);
            write_chunk(connection, &format!("{list}\n")).await?;
            self.record_notifications(sidecar, &notifications);
            if !self.wait_for_change(connection, &mut revisions).await? {
                return Ok(());
            }
        }
    }

    /// Sends heartbeats until the list changes; returns false if the watch is closed first.
    async fn wait_for_change(
        &self,
        connection: &mut HttpConnection,
        revisions: &mut tokio::sync::watch::Receiver<u64>,
    ) -> io::Result<bool> {
        loop {
            let event = tokio::select! {
                changed = revisions.changed() => match changed {
                    Ok(()) => WatchEvent::ListChanged,
                    Err(_) => WatchEvent::Closed,
                },
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => WatchEvent::HeartbeatDue,
                () = connection.closed() => WatchEvent::Closed,
            };
            match event {
                WatchEvent::ListChanged => {
                    let delay = Duration::from_micros(self.draw_notification_delay());
                    tokio::time::sleep(delay).await;
                    return Ok(true);
                }
                WatchEvent::HeartbeatDue => {
                    self.wait_while_silent().await;
                    write_chunk(connection, "\n").await?;
                }
                WatchEvent::Closed => return Ok(false),
            }
        }
    }
}

fn unavailable_response() -> String {
    format_response("503 Service Unavailable", "", "")
}

async fn write_chunk(connection: &mut HttpConnection, text: &str) -> io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    connection.write(&chunk).await
}
