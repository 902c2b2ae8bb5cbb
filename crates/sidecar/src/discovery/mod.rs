//! Service discovery client: polls discovery and receives the endpoint list over a watch.
//!
//! Keeps the connection to discovery open and tracks the last received revision. The host and the
//! balancer apply the endpoint lists.

mod delta_batch;
mod endpoint_sink;
mod list_timing;
mod object_decoder;
mod poll;
#[cfg(test)]
mod test_fixture;
mod watch;
mod watch_cursor;
mod watch_error;
mod watch_receiver;
mod watcher;

pub(crate) use endpoint_sink::EndpointSink;
pub(crate) use watcher::Watcher;
