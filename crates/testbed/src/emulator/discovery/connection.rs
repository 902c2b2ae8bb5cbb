//! The connections of discovery: polls and watches.
//!
//! Owns the exchange on a connection: modes of the service, heartbeats and the order of list and
//! record. What the list says is the service's.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;

use super::{Discovery, Mode};
use crate::emulator::http::{HttpConnection, format_response};
use crate::event_log::LogEvent;
use crate::index::SidecarIndex;

/// An empty line comes this often on a watch while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Targets of the endpoint list begin with this.
const ENDPOINTS_TARGET: &str = "/v1/endpoints";
/// Head of a watch's response, whose body is a line a change.
const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What a watch waits for.
enum WatchEvent {
    ListChanged,
    HeartbeatDue,
    /// The sidecar has closed, or the emulation ends.
    Closed,
}

impl Discovery {
    /// Serves a connection until it ends, or the service goes down.
    pub(super) async fn serve(self: Arc<Self>, stream: TcpStream, sidecar: SidecarIndex) {
        let mut mode = self.mode.subscribe();
        let mut connection = HttpConnection::new(stream);
        let down = *self.mode.borrow() == Mode::Down;
        if down {
            let _ = connection.write(&unavailable()).await;
            return;
        }
        let goes_down = async {
            while *mode.borrow_and_update() != Mode::Down {
                if mode.changed().await.is_err() {
                    return;
                }
            }
        };
        let ended = tokio::select! {
            ended = self.serve_request(&mut connection, sidecar) => ended,
            () = goes_down => Ok(()),
        };
        if let Err(error) = ended {
            tracing::debug!(%sidecar, %error, "emulated discovery's connection failed");
        }
    }

    /// Waits for as long as the service is silent.
    async fn while_silent(&self) {
        let mut mode = self.mode.subscribe();
        while *mode.borrow_and_update() == Mode::Silent {
            if mode.changed().await.is_err() {
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
        self.while_silent().await;
        let turn = self.take_turn();
        self.shared.clock.sleep_until(turn.at).await;
        if turn.rejected || !request.target.starts_with(ENDPOINTS_TARGET) {
            return connection.write(&unavailable()).await;
        }
        if request.query_parameter("stream").is_none() {
            return self.send_whole_list(connection, sidecar).await;
        }
        connection.write(WATCH_HEAD).await?;
        let index = request.query_parameter("index");
        let since = index.and_then(|index| index.parse().ok()).unwrap_or(0);
        self.watch(connection, sidecar, since).await
    }

    async fn send_whole_list(
        &self,
        connection: &mut HttpConnection,
        sidecar: SidecarIndex,
    ) -> io::Result<()> {
        let (list, notifications) = self.whole_list(sidecar);
        let text = format_response("200 OK", "", &format!("{list}\n"));
        connection.write(&text).await?;
        self.record_notifications(sidecar, &notifications);
        Ok(())
    }

    /// Sends what has changed since a version, or the whole list for 0, and then each change.
    async fn watch(
        &self,
        connection: &mut HttpConnection,
        sidecar: SidecarIndex,
        since: u64,
    ) -> io::Result<()> {
        let mut versions = self.version.subscribe();
        let mut since = Some(since).filter(|&version| version > 0);
        loop {
            versions.borrow_and_update();
            self.while_silent().await;
            let (list, version, notifications) = self.list_since(sidecar, since);
            since = Some(version);
            write_chunk(connection, &format!("{list}\n")).await?;
            self.record_notifications(sidecar, &notifications);
            if !self.next_change(connection, &mut versions).await? {
                return Ok(());
            }
        }
    }

    /// Sends heartbeats until the list changes; false where the watch ends instead.
    async fn next_change(
        &self,
        connection: &mut HttpConnection,
        versions: &mut tokio::sync::watch::Receiver<u64>,
    ) -> io::Result<bool> {
        loop {
            let event = tokio::select! {
                changed = versions.changed() => match changed {
                    Ok(()) => WatchEvent::ListChanged,
                    Err(_) => WatchEvent::Closed,
                },
                () = tokio::time::sleep(HEARTBEAT) => WatchEvent::HeartbeatDue,
                () = connection.closed() => WatchEvent::Closed,
            };
            match event {
                WatchEvent::ListChanged => {
                    let spread = Duration::from_micros(self.draw_spread());
                    tokio::time::sleep(spread).await;
                    return Ok(true);
                }
                WatchEvent::HeartbeatDue => {
                    self.while_silent().await;
                    write_chunk(connection, "\n").await?;
                }
                WatchEvent::Closed => return Ok(false),
            }
        }
    }
}

fn unavailable() -> String {
    format_response("503 Service Unavailable", "", "")
}

async fn write_chunk(connection: &mut HttpConnection, text: &str) -> io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    connection.write(&chunk).await
}
