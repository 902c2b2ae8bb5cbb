//! Service discovery: the endpoint list, the watch that delivers it, and when discovery is polled.
//!
//! Owns the connection to discovery and the position in its numbering of changes. What an endpoint
//! list means for the servers is the host's and the balancer's business.

mod endpoint_sink;
mod object_decoder;
mod watch;
mod watch_cursor;
mod watch_error;
mod watcher;

pub(crate) use endpoint_sink::EndpointSink;
pub(crate) use watcher::Watcher;
