//! The connections of an emulated server.
//!
//! Reads requests, writes the replies that `attempt` and `health_check` return, and closes the
//! connections when the server resets them.

use std::future::pending;
use std::io;
use std::sync::Arc;

use tokio::net::TcpStream;

use super::EmulatedServer;
use crate::emulator::http::{HttpConnection, Message};
use crate::emulator::lock::lock;
use crate::event_log::LogEvent;
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::Micros;

/// Target of health check requests.
const HEALTH_CHECK_TARGET: &str = "/status/load";

/// What a server does in reply to a request.
pub(super) enum Reply {
    /// Sends a response.
    Send(String),
    /// Sends nothing any more, and keeps the connection open.
    NoResponse,
}

/// The context in which a request was received.
pub(super) struct IncomingRequest {
    /// The server that receives it.
    pub(super) server: ServerIndex,
    /// The sidecar that sends it.
    pub(super) sidecar: SidecarIndex,
    /// Whether the sidecar is in the server's zone.
    pub(super) same_zone: bool,
    /// When its first byte was received.
    pub(super) first_byte_at: Micros,
    /// Network delay between sidecar and server, which is emulated by sleeping.
    pub(super) one_way_delay: Micros,
    /// Whether it is the first on its connection.
    pub(super) new_connection: bool,
}

impl EmulatedServer {
    /// Serves a connection until it ends, or until the server resets its connections.
    pub(super) async fn serve(self: Arc<Self>, stream: TcpStream, sidecar: SidecarIndex) {
        let mut network = self.network.subscribe();
        let epoch = network.borrow().connection_epoch;
        let accepted = lock(&self.process).try_connect();
        let _ = stream.set_zero_linger();
        if !accepted {
            return;
        }
        self.shared.record(LogEvent::ConnectionOpened {
            server: self.index(),
        });
        let mut connection = HttpConnection::new(stream);
        let connections_reset = async {
            while network.borrow_and_update().connection_epoch == epoch {
                if network.changed().await.is_err() {
                    return;
                }
            }
        };
        let result = tokio::select! {
            result = self.serve_requests(&mut connection, sidecar) => result,
            () = connections_reset => Ok(()),
        };
        if let Err(error) = result {
            let server = self.index();
            tracing::debug!(%server, %sidecar, %error, "connection to emulated server failed");
        }
        if self.network.borrow().connection_epoch == epoch {
            lock(&self.process).on_disconnected();
        }
    }

    async fn serve_requests(
        &self,
        connection: &mut HttpConnection,
        sidecar: SidecarIndex,
    ) -> io::Result<()> {
        let same_zone = self.shared.scenario.sidecar_zone(sidecar) == self.zone;
        let mut new_connection = true;
        while connection.has_next_message().await? {
            let first_byte_at = self.shared.clock.now();
            let message = connection.read_request().await?;
            let unit = lock(&self.process).random_unit();
            let incoming = IncomingRequest {
                server: self.index(),
                sidecar,
                same_zone,
                first_byte_at,
                one_way_delay: self.shared.network_delay(same_zone, unit),
                new_connection,
            };
            match self.reply(connection, &message, &incoming).await? {
                Reply::Send(response) => connection.write(&response).await?,
                Reply::NoResponse => pending().await,
            }
            new_connection = false;
        }
        Ok(())
    }

    async fn reply(
        &self,
        connection: &mut HttpConnection,
        message: &Message,
        incoming: &IncomingRequest,
    ) -> io::Result<Reply> {
        if message.target == HEALTH_CHECK_TARGET {
            Ok(self.on_health_check(incoming).await)
        } else {
            self.on_attempt(connection, message, incoming).await
        }
    }
}
