//! The life of one request, from its last byte to its final response, whatever listener it came by.
//! Knows neither the client's protocol nor how an attempt is written to a server.

mod attempts;
mod client_presence;
mod exchange;
mod message;
mod retry_window;

pub use client_presence::ClientPresence;
pub use exchange::run;
pub use message::{FORWARDED_HEADERS, Payload, ProxyRequest, ProxyResponse};
