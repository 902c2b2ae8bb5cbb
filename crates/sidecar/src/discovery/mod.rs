//! Discovery's list of endpoints: its form, the watch that turns it into events, and when it is called.

mod endpoint;
mod line_decoder;
mod watch;
mod watcher;

#[cfg(test)]
pub use endpoint::Endpoint;
pub use endpoint::EndpointList;
pub use watcher::follow;
