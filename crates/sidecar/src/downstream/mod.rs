//! The downstream side: client connections, their limits and their close, and HTTP/1.1 on them.
//!
//! The downstream side does not interpret requests or choose their servers. Each module uses only
//! those listed before it:
//! - `request_memory`: reserves the memory of requests; `request_framing`: where a request in the input ends;
//! - `connection`: the state of one client connection, with a submodule for each concern;
//!   `connection_timeout`: enforces its deadlines;
//! - `descriptor_reclaim`: the connections that give way to new ones;
//! - `bounded_stream`: its socket as actix-http reads and writes it; `lingering_close`: closes
//!   the socket; `refusal`: responds to requests that are not read to their end;
//! - `service_context`: gives the modules below access to the rest of the sidecar;
//! - `malformed_request`, `request_headers`, `request`, `response`: convert between HTTP and the
//!   proxy's types;
//! - `request_handler`: handles one request, from its head to its response;
//! - `http`: the actix-http service, which runs the handler;
//! - `client_permits`: limits the number of connections; `listener`: accepts, serves and closes
//!   them.

mod bounded_stream;
mod client_permits;
mod connection;
mod connection_timeout;
mod descriptor_reclaim;
mod http;
mod lingering_close;
pub(crate) mod listener;
mod malformed_request;
mod refusal;
mod request;
mod request_framing;
mod request_handler;
mod request_headers;
mod request_memory;
mod response;
mod service_context;

pub(crate) use service_context::ServiceContext;
