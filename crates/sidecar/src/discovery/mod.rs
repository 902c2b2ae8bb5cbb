//! Service discovery client: polls discovery and receives the endpoint list over a watch.
//!
//! This module owns the connection to discovery and the revision up to which its changes have been
//! received. The host and the balancer apply the endpoint lists.

mod endpoint_sink;
mod object_decoder;
mod watch;
mod watch_cursor;
mod watch_error;
mod watcher;

pub(crate) use endpoint_sink::EndpointSink;
pub(crate) use watcher::Watcher;
