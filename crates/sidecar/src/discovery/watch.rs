//! One watch on discovery, from the call to its end.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use arrowstand_balancer::UpdateKind;
use arrowstand_control::list_freshness::ListFreshness;
use awc::error::{ConnectError, SendRequestError};
use futures_util::StreamExt as _;
use tokio::time::{Instant, timeout};

use super::endpoint::EndpointList;
use super::line_decoder::LineDecoder;
use crate::host::BalancerHost;
use crate::limits::Limits;

/// Where this sidecar stands in discovery's numbering of its changes.
pub struct WatchCursor {
    rev: Cell<u64>,
    /// What the module is told is this much higher, so that its count only rises.
    raised: Cell<u64>,
    /// Nothing has come on this watch yet.
    first: Cell<bool>,
}

/// Why a watch ended.
pub struct WatchError {
    pub text: String,
    pub end: WatchEnd,
}

/// How a call or a watch ended, as far as it tells what the list may hide.
pub enum WatchEnd {
    Broken,
    /// The call was given up.
    Unanswered,
    /// It was open and said nothing more.
    Silent {
        heard: Instant,
    },
    /// Nobody listens there.
    Refused,
}

impl WatchCursor {
    pub fn new(rev: u64) -> Self {
        Self {
            rev: Cell::new(rev),
            raised: Cell::new(0),
            first: Cell::new(true),
        }
    }
}

impl From<String> for WatchError {
    fn from(text: String) -> Self {
        Self {
            text,
            end: WatchEnd::Broken,
        }
    }
}

/// True where the address refused the call.
fn refused(e: &SendRequestError) -> bool {
    matches!(e, SendRequestError::Connect(ConnectError::Io(e)) if e.kind() == io::ErrorKind::ConnectionRefused)
}

/// One watch, from the call to its end; tells why it ended.
pub async fn watch(
    host: &Rc<BalancerHost>,
    client: &awc::Client,
    discovery: SocketAddr,
    at: &WatchCursor,
    limits: &Limits,
) -> WatchError {
    let uri = format!(
        "http://{discovery}/v1/endpoints?stream=1&index={}",
        at.rev.get()
    );
    host.update_list_freshness(ListFreshness::on_poll_started);
    at.first.set(true);
    let call = client.get(uri).force_close().no_decompress().send();
    let mut answer = match timeout(limits.discovery.poll_timeout, call).await {
        Ok(Ok(answer)) if answer.status().is_success() => answer,
        Ok(Ok(answer)) => return format!("the call ended with {}", answer.status()).into(),
        Ok(Err(e)) => {
            let end = if refused(&e) {
                WatchEnd::Refused
            } else {
                WatchEnd::Broken
            };
            return WatchError {
                text: format!("the call failed: {e}"),
                end,
            };
        }
        Err(_) => {
            return WatchError {
                text: "the call was not answered".to_owned(),
                end: WatchEnd::Unanswered,
            };
        }
    };
    let mut heard = Instant::now();
    let mut lines = LineDecoder::new(
        limits.discovery.max_line_bytes,
        limits.discovery.max_json_depth,
    );
    loop {
        // Guards against a watch whose other end has vanished: it says nothing, not even the heartbeat.
        let chunk = match timeout(limits.discovery.watch_silence_timeout, answer.next()).await {
            Ok(Some(Ok(chunk))) => chunk,
            Ok(Some(Err(e))) => return format!("the watch broke: {e}").into(),
            Ok(None) => return "the watch ended".to_owned().into(),
            Err(_) => {
                return WatchError {
                    text: "the watch fell silent".to_owned(),
                    end: WatchEnd::Silent { heard },
                };
            }
        };
        heard = Instant::now();
        if let Err(fault) = lines.add(&chunk) {
            return fault.into();
        }
        while let Some(line) = lines.take() {
            let text = String::from_utf8_lossy(&line);
            if text.trim().is_empty() {
                host.update_list_freshness(|freshness, _| freshness.on_watch_event());
                continue;
            }
            match EndpointList::parse(&text, limits) {
                Ok(list) => take(host, at, &list),
                Err(fault) => {
                    host.counters.endpoint_lines_skipped.add();
                    // Guards against changes lost with a line: the next one would move the position past them.
                    at.rev.set(0);
                    return format!("a line cannot be read, the whole list is asked for: {fault}")
                        .into();
                }
            }
        }
    }
}

fn take(host: &BalancerHost, at: &WatchCursor, list: &EndpointList) {
    // Guards against a discovery that counts from lower down, a new one or one that has started anew: it was asked for
    // what came after the position and gave the whole list instead, so that list is no old one.
    if at.first.replace(false) && list.all && list.rev < at.rev.get() {
        at.raised.set(at.raised.get() + at.rev.get());
    }
    at.rev.set(list.rev);
    let kind = if list.all {
        UpdateKind::Full
    } else {
        UpdateKind::Incremental
    };
    host.update_list_freshness(|freshness, _| freshness.on_watch_event());
    host.update_endpoints(kind, at.raised.get() + list.rev, list);
}
