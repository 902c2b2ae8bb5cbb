//! The side of the clients: connections, their bounds and their ends, and the protocol on them.

mod bounded_stream;
mod connection;
pub mod http;
mod lingering_close;
pub mod listener;
mod request;
#[cfg(test)]
mod tests;
