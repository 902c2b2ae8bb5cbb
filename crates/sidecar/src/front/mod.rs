//! The side of the clients: connections, their bounds and their ends, and the protocol on them.

mod client;
pub mod http;
mod lent;
mod linger;
pub mod listener;
mod request;
#[cfg(test)]
mod tests;
