//! A single watch on discovery, from the poll that opens it to its end.
//!
//! Endpoint lists are delivered to the sink as they arrive. The watcher decides when to poll again.

use std::convert::Infallible;
use std::net::SocketAddr;

use awc::ClientResponse;
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::{Stream, StreamExt as _};
use tokio::time::{Instant, timeout};

use super::endpoint_sink::EndpointSink;
use super::poll::poll;
use super::watch_cursor::WatchCursor;
use super::watch_error::WatchError;
use super::watch_receiver::WatchReceiver;
use crate::limits::Limits;

/// Most chunks that are taken from the connection together.
const MAX_READY_CHUNKS: usize = 32;

/// Polls discovery and delivers the endpoint lists of the watch until it ends; returns the reason.
pub(super) async fn poll_and_watch(
    sink: &EndpointSink,
    client: &awc::Client,
    discovery: SocketAddr,
    cursor: &WatchCursor,
    limits: &Limits,
) -> WatchError {
    let uri = format!(
        "http://{discovery}/v1/endpoints?stream=1&index={}",
        cursor.revision()
    );
    cursor.on_poll_started();
    let start_call = || call(client, &uri);
    match poll(start_call, sink, &limits.discovery).await {
        Ok(response) => {
            let Err(error) = deliver_lists(sink, response, cursor, limits).await;
            on_watch_ended(sink, &error);
            error
        }
        Err(error) => error,
    }
}

/// Records how a watch ended that had been opened.
fn on_watch_ended(sink: &EndpointSink, error: &WatchError) {
    let freshness = sink.list_freshness();
    match error {
        WatchError::WatchSilent { last_received_at } => {
            freshness.on_watch_silent(*last_received_at);
        }
        WatchError::ObjectTooLarge(_) | WatchError::InvalidObject(_) => {
            freshness.on_unreadable_event();
        }
        _ => freshness.on_watch_ended(),
    }
}

/// Sends a call that opens a watch and waits for the head of the response.
async fn call(
    client: &awc::Client,
    uri: &str,
) -> Result<ClientResponse<impl Stream<Item = Result<Bytes, PayloadError>> + use<>>, WatchError> {
    let request = client.get(uri).force_close().no_decompress().send();
    let response = request.await.map_err(WatchError::PollFailed)?;
    if !response.status().is_success() {
        return Err(WatchError::PollRejected(response.status()));
    }
    Ok(response)
}

/// Delivers each endpoint list and heartbeat of an open watch; returns only on an error.
async fn deliver_lists(
    sink: &EndpointSink,
    body: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    cursor: &WatchCursor,
    limits: &Limits,
) -> Result<Infallible, WatchError> {
    let silence_timeout = limits.discovery.watch_silence_timeout;
    let mut last_received_at = Instant::now();
    let mut receiver = WatchReceiver::new(sink, cursor, &limits.discovery);
    let mut body = body.ready_chunks(MAX_READY_CHUNKS);
    loop {
        // If discovery fails without closing the connection, missing heartbeats are the only sign.
        let chunks = timeout(silence_timeout, body.next())
            .await
            .map_err(|_| WatchError::WatchSilent { last_received_at })?
            .ok_or(WatchError::WatchEnded)?;
        last_received_at = Instant::now();
        receiver.receive(chunks).await?;
    }
}

#[cfg(test)]
mod tests;
