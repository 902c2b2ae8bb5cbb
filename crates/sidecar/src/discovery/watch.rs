//! A single watch on discovery, from the poll that opens it to its end.
//!
//! Endpoint lists are delivered to the sink as they arrive. The watcher decides when to poll again.

use std::convert::Infallible;
use std::net::SocketAddr;

use arrowstand_balancer::UpdateKind;
use arrowstand_platform::{EndpointList, EndpointListParser, ListKind};
use awc::ClientResponse;
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::{Stream, StreamExt as _};
use tokio::time::{Instant, timeout};

use super::endpoint_sink::EndpointSink;
use super::list_timing::ListTiming;
use super::object_decoder::ObjectDecoder;
use super::watch_cursor::WatchCursor;
use super::watch_error::WatchError;
use crate::limits::{DiscoveryLimits, Limits};
use crate::steps::{WorkBudget, run_in_steps};

/// Work for an object besides that for its bytes, as bytes of a [`WorkBudget`]. Without it, a chunk
/// of heartbeats would be handled in one step.
const OBJECT_COST_BYTES: usize = 128;

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
    sink.list_freshness().on_poll_started();
    cursor.on_poll_started();
    match poll(client, &uri, &limits.discovery).await {
        Ok(response) => {
            let Err(error) = deliver_lists(sink, response, cursor, limits).await;
            error
        }
        Err(error) => error,
    }
}

/// Sends a poll and waits for the head of the response.
async fn poll(
    client: &awc::Client,
    uri: &str,
    limits: &DiscoveryLimits,
) -> Result<ClientResponse<impl Stream<Item = Result<Bytes, PayloadError>> + use<>>, WatchError> {
    let request = client.get(uri).force_close().no_decompress().send();
    let response = timeout(limits.poll_timeout, request)
        .await
        .map_err(|_| WatchError::PollTimedOut)?
        .map_err(WatchError::PollFailed)?;
    if !response.status().is_success() {
        return Err(WatchError::PollRejected(response.status()));
    }
    Ok(response)
}

/// Delivers each endpoint list and heartbeat of an open watch; returns only on an error.
async fn deliver_lists(
    sink: &EndpointSink,
    mut body: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    cursor: &WatchCursor,
    limits: &Limits,
) -> Result<Infallible, WatchError> {
    let silence_timeout = limits.discovery.watch_silence_timeout;
    let mut last_received_at = Instant::now();
    let mut decoder = ObjectDecoder::new(
        limits.discovery.max_object_bytes,
        limits.discovery.max_json_depth,
    );
    let mut timing = ListTiming::default();
    let mut budget = WorkBudget::default();
    loop {
        // If discovery fails without closing the connection, missing heartbeats are the only sign.
        let chunk = timeout(silence_timeout, body.next())
            .await
            .map_err(|_| WatchError::WatchSilent { last_received_at })?
            .ok_or(WatchError::WatchEnded)?
            .map_err(WatchError::WatchFailed)?;
        last_received_at = Instant::now();
        decoder.push(&chunk)?;
        while let Some(object) = timing.time_framing(|| decoder.next_object()) {
            let list = read_object(sink, cursor, &object, limits, &mut timing).await?;
            if let Some(list) = &list {
                timing.time_applying(|| on_list_received(sink, cursor, list));
            }
            timing.finish(list.as_ref(), object.len(), decoder.take_examined_bytes());
            budget.spend(OBJECT_COST_BYTES).await;
        }
        budget.spend(chunk.len()).await;
    }
}

/// Reads the list in one object, in steps between which requests are served; `None` for a heartbeat,
/// which is an empty line.
async fn read_object(
    sink: &EndpointSink,
    cursor: &WatchCursor,
    object: &[u8],
    limits: &Limits,
    timing: &mut ListTiming,
) -> Result<Option<EndpointList>, WatchError> {
    let text = String::from_utf8_lossy(object);
    if text.trim().is_empty() {
        sink.list_freshness().on_watch_event();
        return Ok(None);
    }
    let mut parser = EndpointListParser::new(&text, limits.discovery.max_json_depth);
    match run_in_steps(|| timing.time_parsing(|| parser.step())).await {
        Ok(list) => Ok(Some(list)),
        Err(error) => {
            sink.on_invalid_object();
            cursor.on_invalid_object();
            Err(WatchError::InvalidObject(error))
        }
    }
}

fn on_list_received(sink: &EndpointSink, cursor: &WatchCursor, list: &EndpointList) {
    let version = cursor.on_list_received(list);
    let kind = match list.kind {
        ListKind::Full => UpdateKind::Full,
        ListKind::Delta => UpdateKind::Incremental,
    };
    sink.on_list_received(kind, version, list);
}

#[cfg(test)]
mod tests;
