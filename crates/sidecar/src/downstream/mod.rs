//! The downstream side: client connections with their bounds and their ends, and the protocol on
//! them.
//!
//! What a request means and where it is forwarded to is not decided here. Modules use those above
//! them only:
//! - `connection`: the state of one client connection, a part for each concern;
//!   `connection_timeout`: until when it may go on;
//! - `bounded_stream`: its socket as the protocol reads and writes it; `lingering_close`: the
//!   socket's end;
//! - `service_context`: what the modules below may know of the rest of the sidecar;
//! - `malformed_request`, `request_headers`, `request`, `response`: between HTTP and the proxy's
//!   types;
//! - `request_handler`: one request, from its head to its response;
//! - `http`: the protocol's services, which run the handler;
//! - `client_permits`: how many clients are connected; `listener`: accepts them and serves them to
//!   their end.

mod bounded_stream;
mod client_permits;
mod connection;
mod connection_timeout;
mod http;
mod lingering_close;
pub(crate) mod listener;
mod malformed_request;
mod request;
mod request_handler;
mod request_headers;
mod response;
mod service_context;

pub(crate) use service_context::ServiceContext;
